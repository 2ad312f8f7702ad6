#ifndef LIBS_TELEMETRY_OPEN_SPANS_H_
#define LIBS_TELEMETRY_OPEN_SPANS_H_

#include <optional>
#include <string>

#include "libs/telemetry/span_writer.h"

namespace bilberryspool::telemetry {

// The writer of a process's spans to `file`; none where `file` is empty or
// can't be written, which is logged: traces are no reason not to serve.
std::optional<SpanWriter> OpenSpanWriter(const std::string& file,
                                         const std::string& service,
                                         const std::string& instance);

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_OPEN_SPANS_H_
