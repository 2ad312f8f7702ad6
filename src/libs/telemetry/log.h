// Logs: short sentences with a fixed prefix for each part, and fields that a
// program can read:
//
//     2026-12-02T18:40:01.123Z WARN [link] Refused a peer. node=entry-2
//
// Values from outside are quoted, so that no caller can forge a line.

#ifndef LIBS_TELEMETRY_LOG_H_
#define LIBS_TELEMETRY_LOG_H_

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <variant>

#include "libs/telemetry/log_level.h"

namespace bilberryspool::telemetry {

// One key=value after the sentence. `key` is a word of the program's own.
struct LogField {
  LogField(std::string_view name, std::string_view text)
      : key(name), value(text) {}
  LogField(std::string_view name, std::integral auto number)
      : key(name), value(std::to_string(number)) {}

  std::string_view key;
  std::string value;
};

using LogFields = std::initializer_list<LogField>;

struct LogOptions {
  LogLevel level = LogLevel::kInfo;
  // Empty: standard error; kStandardOutput; else a file that is appended to.
  std::string file;
};

// Names standard output, to which lines go without waiting for its reader.
inline constexpr std::string_view kStandardOutput = "-";

// Lines that were dropped because standard output's reader was too slow.
std::uint64_t DroppedLogLines();

struct LogError {
  std::string what;
};

// Where the lines of the process go while this lives. The library behind it
// keeps one output for a process, so there is one at a time; what is logged
// without one is dropped.
class LogOutput {
 public:
  static std::variant<LogOutput, LogError> Open(const LogOptions& options);

  LogOutput(LogOutput&&) noexcept;
  LogOutput& operator=(LogOutput&&) noexcept;
  ~LogOutput();

 private:
  struct Private;
  explicit LogOutput(std::unique_ptr<Private> d);

  std::unique_ptr<Private> d_;
};

// Changes the level of the open output at run time, from any thread.
void SetLogLevel(LogLevel level);

// Writes the lines of one part. Cheap to copy; for any thread. A line below
// the level costs one comparison, but its fields are built before.
class Logger {
 public:
  explicit Logger(std::string_view prefix);

  void Debug(std::string_view sentence, LogFields fields = {}) const;
  void Info(std::string_view sentence, LogFields fields = {}) const;
  void Warn(std::string_view sentence, LogFields fields = {}) const;
  void Error(std::string_view sentence, LogFields fields = {}) const;

  // For lines whose fields are dear to build.
  bool IsEnabled(LogLevel level) const;

 private:
  struct Private;

  void Write(LogLevel level, std::string_view sentence, LogFields fields) const;

  std::shared_ptr<const Private> d_;
};

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_LOG_H_
