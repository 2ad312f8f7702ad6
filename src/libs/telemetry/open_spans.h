#ifndef LIBS_TELEMETRY_OPEN_SPANS_H_
#define LIBS_TELEMETRY_OPEN_SPANS_H_

#include <optional>
#include <string>

#include "libs/telemetry/span_writer.h"

namespace bilberryspool::telemetry {

// Opens the writer of a process's spans to `file`. Returns std::nullopt if
// `file` is empty or can't be written; the latter is logged, but the process
// serves without traces.
std::optional<SpanWriter> OpenSpanWriter(const std::string& file,
                                         const std::string& service,
                                         const std::string& instance);

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_OPEN_SPANS_H_
