#include "libs/telemetry/span_writer.h"

#include <atomic>
#include <cstdio>
#include <fstream>
#include <mutex>
#include <utility>

#include "libs/rings/worker.h"
#include "libs/telemetry/span_json.h"

namespace bilberryspool::telemetry {
namespace {

// Limits the size of a line and the memory to build it.
constexpr std::size_t kMaxSpansPerLine = 256;

}  // namespace

struct SpanWriter::Private {
  Private(SpanWriterOptions writer_options, std::ofstream opened)
      : options(std::move(writer_options)),
        file(std::move(opened)),
        worker(
            {"spans", options.ring_capacity, 1},
            [this](Span&& span) { Collect(std::move(span)); },
            [this] { Flush(); }) {}

  // All members except `worker` and `mutex` belong to the worker's thread.
  void Collect(Span&& span) {
    batch.push_back(std::move(span));
    if (batch.size() >= kMaxSpansPerLine) {
      Flush();
    }
  }

  void Flush() {
    if (batch.empty()) {
      return;
    }
    if (file.is_open()) {
      file << ToOtlpJson(batch, options.resource) << std::endl;
    }
    if (file.is_open() && file) {
      written += batch.size();
    } else {
      failed += batch.size();
    }
    batch.clear();
    file.clear();
    RotateIfLarge();
  }

  void RotateIfLarge() {
    if (!file.is_open()) {
      file.open(options.file, std::ios::app);
      return;
    }
    const auto size = static_cast<std::streamoff>(file.tellp());
    if (size < 0 || static_cast<std::uint64_t>(size) < options.max_file_bytes) {
      return;
    }
    file.close();
    const std::string previous = options.file + ".1";
    const bool is_moved =
        std::rename(options.file.c_str(), previous.c_str()) == 0;
    file.open(options.file, is_moved ? std::ios::app : std::ios::trunc);
  }

  const SpanWriterOptions options;
  std::ofstream file;
  std::vector<Span> batch;
  std::atomic<std::uint64_t> written = 0;
  std::atomic<std::uint64_t> failed = 0;
  // The ring allows one producer at a time; the mutex serializes producers, so
  // that Write() may be called from any thread.
  std::mutex mutex;
  rings::Worker<Span> worker;
};

std::variant<SpanWriter, SpanWriterError> SpanWriter::Open(
    SpanWriterOptions options) {
  std::ofstream file(options.file, std::ios::app);
  if (!file) {
    return SpanWriterError{"can't write to " + options.file};
  }
  return SpanWriter(
      std::make_unique<Private>(std::move(options), std::move(file)));
}

SpanWriter::SpanWriter(std::unique_ptr<Private> d) : d_(std::move(d)) {}
SpanWriter::SpanWriter(SpanWriter&&) noexcept = default;
SpanWriter::~SpanWriter() = default;

void SpanWriter::Write(Span span) {
  if (!span.context.is_sampled) {
    return;
  }
  const std::lock_guard lock(d_->mutex);
  d_->worker.ring().TryPush(std::move(span));
}

void SpanWriter::Stop() {
  d_->worker.Stop();
}

std::uint64_t SpanWriter::written() const {
  return d_->written;
}

std::uint64_t SpanWriter::dropped() const {
  return d_->worker.ring().refused();
}

std::uint64_t SpanWriter::failed() const {
  return d_->failed;
}

}  // namespace bilberryspool::telemetry
