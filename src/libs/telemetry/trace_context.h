#ifndef LIBS_TELEMETRY_TRACE_CONTEXT_H_
#define LIBS_TELEMETRY_TRACE_CONTEXT_H_

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/random.h"

namespace bilberryspool::telemetry {

using TraceId = std::array<std::uint8_t, 16>;
using SpanId = std::array<std::uint8_t, 8>;

// Content of the `traceparent` header (W3C Trace Context, level 1), which is
// passed from hop to hop. Neither id is all zero.
struct TraceContext {
  TraceId trace_id{};
  SpanId span_id{};  // span of the hop that sent the header
  bool is_sampled = false;

  bool operator==(const TraceContext&) const = default;
};

inline constexpr std::string_view kTraceparentHeader = "traceparent";

// Returns std::nullopt if the header is invalid; the caller starts a new trace
// then. Of versions after 00 only the fields of version 00 are read, as the
// recommendation requires.
std::optional<TraceContext> ParseTraceparent(std::string_view header);

// "00-" trace id "-" span id "-" flags, 55 bytes.
std::string FormatTraceparent(const TraceContext& context);

// Creates a new trace with its first span.
TraceContext NewTrace(Random& random, bool is_sampled);

// Creates a new span of the same trace with the same sampling decision.
TraceContext ChildOf(const TraceContext& parent, Random& random);

// Lower-case hexadecimal digits.
std::string ToHex(const TraceId& id);
std::string ToHex(const SpanId& id);

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_TRACE_CONTEXT_H_
