// Logs: short sentences with a fixed prefix for each component, and
// machine-readable fields:
//
//     2026-12-02T18:40:01.123Z WARN [link] Refused a peer. node=entry-2
//
// External values are quoted and escaped, so that no caller can forge a line.

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

// One key=value after the sentence. `key` is defined by the program.
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
  // Empty: standard error; kStandardOutput; otherwise a file to append to.
  std::string file;
};

// Selects standard output, which is written without blocking on its reader.
inline constexpr std::string_view kStandardOutput = "-";

// Number of lines dropped because the reader of standard output was too slow.
std::uint64_t DroppedLogLines();

struct LogError {
  std::string what;
};

// The log output of the process while this object exists. The log library has
// one output per process, so there must be only one object at a time; lines
// logged without one are dropped.
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

// Changes the level of the open output at run time; may be called from any
// thread.
void SetLogLevel(LogLevel level);

// Writes the log lines of one component. Cheap to copy; thread-safe. A line
// below the level costs one comparison, but its fields are built first.
class Logger {
 public:
  explicit Logger(std::string_view prefix);

  void Debug(std::string_view sentence, LogFields fields = {}) const;
  void Info(std::string_view sentence, LogFields fields = {}) const;
  void Warn(std::string_view sentence, LogFields fields = {}) const;
  void Error(std::string_view sentence, LogFields fields = {}) const;

  // For lines whose fields are expensive to build.
  bool IsEnabled(LogLevel level) const;

 private:
  struct Private;

  void Write(LogLevel level, std::string_view sentence, LogFields fields) const;

  std::shared_ptr<const Private> d_;
};

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_LOG_H_
