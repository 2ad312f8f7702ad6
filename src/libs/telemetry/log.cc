#include "libs/telemetry/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <climits>
#include <fstream>
#include <sstream>
#include <utility>

#include <log4cplus/consoleappender.h>
#include <log4cplus/fileappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/nullappender.h>
#include <log4cplus/spi/loggingevent.h>

namespace bilberryspool::telemetry {
namespace {

// UTC date, level, prefix of the component, sentence and fields.
constexpr const char* kLayout = "%d{%Y-%m-%dT%H:%M:%S.%qZ} %p [%c] %m%n";

// The library is initialized once and lives as long as the loggers that use it.
void StartLibrary() {
  static const log4cplus::Initializer initializer;
  static const bool is_silent = [] {
    log4cplus::Logger::getRoot().addAppender(
        log4cplus::SharedAppenderPtr(new log4cplus::NullAppender));
    return true;
  }();
  static_cast<void>(is_silent);
}

log4cplus::LogLevel ToLibraryLevel(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cplus::DEBUG_LOG_LEVEL;
    case LogLevel::kInfo:
      return log4cplus::INFO_LOG_LEVEL;
    case LogLevel::kWarn:
      return log4cplus::WARN_LOG_LEVEL;
    case LogLevel::kError:
      return log4cplus::ERROR_LOG_LEVEL;
  }
  return log4cplus::INFO_LOG_LEVEL;
}

// Lines dropped because the reader of standard output was too slow.
std::atomic<std::uint64_t> dropped_lines{0};

// Writes to standard output without blocking: if the reader has stopped, a
// blocking write would block every thread that logs, and with it the requests.
// A line that would block is dropped and counted; the next line that can be
// written is preceded by the count.
class StandardOutputAppender : public log4cplus::Appender {
 public:
  ~StandardOutputAppender() override { destructorImpl(); }
  void close() override {}

 protected:
  void append(const log4cplus::spi::InternalLoggingEvent& event) override {
    std::ostringstream text;
    layout->formatAndAppend(text, event);
    if (reported_drops_ != dropped_lines.load() && !ReportDropped()) {
      ++dropped_lines;
      return;
    }
    if (!WriteLine(text.str())) {
      ++dropped_lines;
    }
  }

 private:
  bool ReportDropped() {
    const std::uint64_t dropped = dropped_lines.load();
    if (!WriteLine("WARN [log] Lines were dropped. count=" +
                   std::to_string(dropped - reported_drops_) + "\n")) {
      return false;
    }
    reported_drops_ = dropped;
    return true;
  }

  // A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
  static bool WriteLine(std::string line) {
    if (line.size() > PIPE_BUF) {
      line.resize(PIPE_BUF - 1);
      line += '\n';
    }
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (poll(&output, 1, 0) != 1 || (output.revents & POLLOUT) == 0) {
      return false;
    }
    return write(STDOUT_FILENO, line.data(), line.size()) ==
           static_cast<ssize_t>(line.size());
  }

  std::uint64_t reported_drops_ = 0;
};

log4cplus::SharedAppenderPtr MakeAppender(const std::string& file) {
  if (file == kStandardOutput) {
    return log4cplus::SharedAppenderPtr(new StandardOutputAppender);
  }
  if (file.empty()) {
    return log4cplus::SharedAppenderPtr(
        new log4cplus::ConsoleAppender(true, true));
  }
  return log4cplus::SharedAppenderPtr(
      new log4cplus::FileAppender(file, std::ios_base::app));
}

bool IsPlain(unsigned char byte) {
  return byte > ' ' && byte < 0x7f && byte != '"' && byte != '\\' &&
         byte != '=';
}

void AppendEscaped(std::string& line, unsigned char byte) {
  constexpr const char* digits = "0123456789abcdef";
  if (byte == '"' || byte == '\\') {
    line += '\\';
    line += static_cast<char>(byte);
  } else if (byte < ' ' || byte == 0x7f) {
    line += "\\x";
    line += digits[byte >> 4U];
    line += digits[byte & 0xfU];
  } else {
    line += static_cast<char>(byte);
  }
}

void AppendValue(std::string& line, const std::string& value) {
  if (!value.empty() && std::all_of(value.begin(), value.end(), IsPlain)) {
    line += value;
    return;
  }
  line += '"';
  for (const char byte : value) {
    AppendEscaped(line, static_cast<unsigned char>(byte));
  }
  line += '"';
}

}  // namespace

struct LogOutput::Private {
  log4cplus::SharedAppenderPtr appender;

  ~Private() { log4cplus::Logger::getRoot().removeAppender(appender); }
};

LogOutput::LogOutput(std::unique_ptr<Private> d) : d_(std::move(d)) {}
LogOutput::LogOutput(LogOutput&&) noexcept = default;
LogOutput& LogOutput::operator=(LogOutput&&) noexcept = default;
LogOutput::~LogOutput() = default;

std::variant<LogOutput, LogError> LogOutput::Open(const LogOptions& options) {
  StartLibrary();
  // The library would only print to standard error and continue without a log.
  const bool is_file = !options.file.empty() && options.file != kStandardOutput;
  if (is_file && !std::ofstream(options.file, std::ios::app)) {
    return LogError{"can't write to " + options.file};
  }
  auto d = std::make_unique<Private>();
  d->appender = MakeAppender(options.file);
  d->appender->setLayout(std::make_unique<log4cplus::PatternLayout>(kLayout));
  log4cplus::Logger::getRoot().addAppender(d->appender);
  SetLogLevel(options.level);
  return LogOutput(std::move(d));
}

std::uint64_t DroppedLogLines() {
  return dropped_lines.load();
}

void SetLogLevel(LogLevel level) {
  StartLibrary();
  log4cplus::Logger::getRoot().setLogLevel(ToLibraryLevel(level));
}

struct Logger::Private {
  log4cplus::Logger logger;
};

Logger::Logger(std::string_view prefix) {
  StartLibrary();
  d_ = std::make_shared<const Private>(
      Private{log4cplus::Logger::getInstance(std::string(prefix))});
}

void Logger::Debug(std::string_view sentence, LogFields fields) const {
  Write(LogLevel::kDebug, sentence, fields);
}

void Logger::Info(std::string_view sentence, LogFields fields) const {
  Write(LogLevel::kInfo, sentence, fields);
}

void Logger::Warn(std::string_view sentence, LogFields fields) const {
  Write(LogLevel::kWarn, sentence, fields);
}

void Logger::Error(std::string_view sentence, LogFields fields) const {
  Write(LogLevel::kError, sentence, fields);
}

bool Logger::IsEnabled(LogLevel level) const {
  return d_->logger.isEnabledFor(ToLibraryLevel(level));
}

void Logger::Write(LogLevel level,
                   std::string_view sentence,
                   LogFields fields) const {
  if (!IsEnabled(level)) {
    return;
  }
  std::string line(sentence);
  for (const LogField& field : fields) {
    line += ' ';
    line += field.key;
    line += '=';
    AppendValue(line, field.value);
  }
  d_->logger.forcedLog(ToLibraryLevel(level), line, nullptr, 0, nullptr);
}

}  // namespace bilberryspool::telemetry
