#include "libs/telemetry/open_spans.h"

#include <utility>
#include <variant>

#include "libs/telemetry/log.h"

namespace bilberryspool::telemetry {

std::optional<SpanWriter> OpenSpanWriter(const std::string& file,
                                         const std::string& service,
                                         const std::string& instance) {
  if (file.empty()) {
    return std::nullopt;
  }
  SpanWriterOptions options;
  options.file = file;
  options.resource = {{"service.name", service},
                      {"service.instance.id", instance}};
  auto opened = SpanWriter::Open(std::move(options));
  if (auto* writer = std::get_if<SpanWriter>(&opened)) {
    return std::move(*writer);
  }
  Logger("trace").Warn("Can't write traces.",
                       {{"error", std::get<SpanWriterError>(opened).what}});
  return std::nullopt;
}

}  // namespace bilberryspool::telemetry
