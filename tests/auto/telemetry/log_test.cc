#include <doctest/doctest.h>

#include "auto/telemetry/temporary_file.h"
#include "libs/telemetry/log.h"

namespace bilberryspool::telemetry {
namespace {

// The line without its date.
std::string WithoutDate(const std::string& line) {
  return line.substr(std::string("2026-01-01T00:00:00.000Z ").size());
}

TEST_CASE("lines carry level, prefix and fields, and follow the level") {
  const TemporaryFile file("log");
  const Logger logger("link");
  logger.Error("Nobody listens yet.");
  {
    auto opened = LogOutput::Open({LogLevel::kWarn, file.path()});
    REQUIRE(std::holds_alternative<LogOutput>(opened));
    logger.Info("Too low.");
    logger.Warn("Refused a peer.", {{"node", "entry-2"}, {"port", 7300}});
    SetLogLevel(LogLevel::kDebug);
    CHECK(logger.IsEnabled(LogLevel::kDebug));
    logger.Debug("Now shown.");
  }
  logger.Error("Nobody listens any more.");
  const std::vector<std::string> lines = file.ReadLines();
  REQUIRE(lines.size() == 2);
  CHECK(WithoutDate(lines[0]) ==
        "WARN [link] Refused a peer. node=entry-2 port=7300");
  CHECK(WithoutDate(lines[1]) == "DEBUG [link] Now shown.");
}

// Guards against forged log entries: a caller sends a header value with a
// newline and a forged line. External values must be escaped.
TEST_CASE("values from outside can't forge fields or lines") {
  struct Row {
    const char* value;
    const char* written;
  };
  const Row rows[] = {{"plain-1.2:3", "plain-1.2:3"},
                      {"", "\"\""},
                      {"a b", "\"a b\""},
                      {"x\n2026 ERROR", "\"x\\x0a2026 ERROR\""},
                      {"a=\"b\\", "\"a=\\\"b\\\\\""}};
  const TemporaryFile file("forged");
  {
    const auto opened = LogOutput::Open({LogLevel::kInfo, file.path()});
    for (const Row& row : rows) {
      Logger("callers").Info("Seen.", {{"id", row.value}});
    }
  }
  const std::vector<std::string> lines = file.ReadLines();
  REQUIRE(lines.size() == std::size(rows));
  for (std::size_t i = 0; i < lines.size(); ++i) {
    CHECK(WithoutDate(lines[i]) ==
          std::string("INFO [callers] Seen. id=") + rows[i].written);
  }
}

TEST_CASE("opening a log file that can't be written is an error") {
  const auto opened = LogOutput::Open({LogLevel::kInfo, "/no-such-folder/log"});
  CHECK(std::holds_alternative<LogError>(opened));
}

}  // namespace
}  // namespace bilberryspool::telemetry
