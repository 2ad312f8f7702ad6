#ifndef LIBS_TELEMETRY_SPAN_JSON_H_
#define LIBS_TELEMETRY_SPAN_JSON_H_

#include <string>
#include <vector>

#include "libs/telemetry/span.h"

namespace bilberryspool::telemetry {

// One ExportTraceServiceRequest of OTLP in JSON encoding, without a newline.
// `resource` describes the process that the spans come from.
std::string ToOtlpJson(const std::vector<Span>& spans,
                       const std::vector<Attribute>& resource);

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_SPAN_JSON_H_
