#ifndef LIBS_TELEMETRY_SPAN_WRITER_H_
#define LIBS_TELEMETRY_SPAN_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "libs/telemetry/span.h"

namespace bilberryspool::telemetry {

struct SpanWriterOptions {
  std::string file;                 // appended to
  std::vector<Attribute> resource;  // describes this process
  std::size_t ring_capacity = 4096;
  // Size limit of the file. A larger file is renamed to FILE.1, replacing the
  // previous one, so that traces can't fill the disk that the control state
  // needs.
  std::uint64_t max_file_bytes = 256ULL * 1024 * 1024;
};

struct SpanWriterError {
  std::string what;
};

// Writes spans as lines of OTLP/JSON on its own thread, so that a slow disk
// delays no request. Spans that it can't write fast enough are dropped and
// counted.
class SpanWriter {
 public:
  static std::variant<SpanWriter, SpanWriterError> Open(
      SpanWriterOptions options);

  SpanWriter(SpanWriter&&) noexcept;
  SpanWriter& operator=(SpanWriter&&) = delete;
  ~SpanWriter();

  // Queues a span; may be called from any thread. Ignores spans whose trace is
  // not sampled.
  void Write(Span span);
  // Writes the queued spans and ends the thread.
  void Stop();

  // Number of spans written to the file, dropped because the ring was full, and
  // lost because the file could not be written.
  std::uint64_t written() const;
  std::uint64_t dropped() const;
  std::uint64_t failed() const;

 private:
  struct Private;
  explicit SpanWriter(std::unique_ptr<Private> d);

  std::unique_ptr<Private> d_;
};

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_SPAN_WRITER_H_
