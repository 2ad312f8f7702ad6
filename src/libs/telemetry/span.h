#ifndef LIBS_TELEMETRY_SPAN_H_
#define LIBS_TELEMETRY_SPAN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/strong_type.h"
#include "libs/telemetry/trace_context.h"

namespace bilberryspool::telemetry {

// Wall time in nanoseconds since 1970. It may jump, so use it for display only,
// not for decisions.
using WallTime = StrongNumber<struct WallTimeTag>;

using AttributeValue = std::variant<std::string, std::int64_t, double, bool>;

struct Attribute {
  std::string key;
  AttributeValue value;
};

// Which side of a hop a span describes, numbered as in OTLP.
enum class SpanKind { kInternal = 1, kServer = 2, kClient = 3 };

// One hop of a request.
struct Span {
  std::string name;
  TraceContext context;          // its span_id is the id of this span
  std::optional<SpanId> parent;  // empty: root span of its trace
  SpanKind kind = SpanKind::kInternal;
  WallTime start;
  WallTime end;
  std::vector<Attribute> attributes;
  std::string error;  // empty: no error
};

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_SPAN_H_
