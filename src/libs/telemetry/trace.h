// Traces: one span for each hop of a request, linked by the `traceparent`
// header and written as OTLP/JSON lines. Include this header for all of it.

#ifndef LIBS_TELEMETRY_TRACE_H_
#define LIBS_TELEMETRY_TRACE_H_

#include "libs/telemetry/span.h"
#include "libs/telemetry/span_writer.h"
#include "libs/telemetry/trace_context.h"

#endif  // LIBS_TELEMETRY_TRACE_H_
