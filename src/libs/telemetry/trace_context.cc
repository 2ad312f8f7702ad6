#include "libs/telemetry/trace_context.h"

#include <algorithm>
#include <span>

namespace bilberryspool::telemetry {
namespace {

// version(2) - trace id(32) - span id(16) - flags(2)
constexpr std::size_t kLength = 55;
constexpr std::size_t kTraceIdAt = 3;
constexpr std::size_t kSpanIdAt = 36;
constexpr std::size_t kFlagsAt = 53;
constexpr std::uint8_t kSampledFlag = 1;
constexpr std::uint8_t kForbiddenVersion = 0xff;
constexpr std::string_view kDigits = "0123456789abcdef";

// Accepts lower-case digits only, as W3C Trace Context requires; other
// spellings of an id would not match on the next hop.
bool ReadHex(std::string_view text, std::span<std::uint8_t> bytes) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const std::size_t high = kDigits.find(text[2 * i]);
    const std::size_t low = kDigits.find(text[2 * i + 1]);
    if (high == std::string_view::npos || low == std::string_view::npos) {
      return false;
    }
    bytes[i] = static_cast<std::uint8_t>(high * 16 + low);
  }
  return true;
}

std::string WriteHex(std::span<const std::uint8_t> bytes) {
  std::string text;
  text.reserve(2 * bytes.size());
  for (const std::uint8_t byte : bytes) {
    text += kDigits[byte >> 4U];
    text += kDigits[byte & 0xfU];
  }
  return text;
}

bool IsZero(std::span<const std::uint8_t> bytes) {
  return std::all_of(bytes.begin(), bytes.end(),
                     [](std::uint8_t byte) { return byte == 0; });
}

void FillRandom(std::span<std::uint8_t> bytes, Random& random) {
  do {
    for (std::uint8_t& byte : bytes) {
      byte = static_cast<std::uint8_t>(random.Below(256));
    }
  } while (IsZero(bytes));
}

bool HasValidLayout(std::string_view header) {
  if (header.size() < kLength || header[kTraceIdAt - 1] != '-' ||
      header[kSpanIdAt - 1] != '-' || header[kFlagsAt - 1] != '-') {
    return false;
  }
  return header.size() == kLength || header[kLength] == '-';
}

}  // namespace

std::optional<TraceContext> ParseTraceparent(std::string_view header) {
  std::array<std::uint8_t, 1> version{};
  std::array<std::uint8_t, 1> flags{};
  TraceContext context;
  if (!HasValidLayout(header) || !ReadHex(header, version) ||
      !ReadHex(header.substr(kTraceIdAt), context.trace_id) ||
      !ReadHex(header.substr(kSpanIdAt), context.span_id) ||
      !ReadHex(header.substr(kFlagsAt), flags)) {
    return std::nullopt;
  }
  if (version[0] == kForbiddenVersion) {
    return std::nullopt;
  }
  if (version[0] == 0 && header.size() != kLength) {
    return std::nullopt;
  }
  if (IsZero(context.trace_id) || IsZero(context.span_id)) {
    return std::nullopt;
  }
  context.is_sampled = (flags[0] & kSampledFlag) != 0;
  return context;
}

std::string FormatTraceparent(const TraceContext& context) {
  return "00-" + ToHex(context.trace_id) + "-" + ToHex(context.span_id) +
         (context.is_sampled ? "-01" : "-00");
}

TraceContext NewTrace(Random& random, bool is_sampled) {
  TraceContext context;
  FillRandom(context.trace_id, random);
  FillRandom(context.span_id, random);
  context.is_sampled = is_sampled;
  return context;
}

TraceContext ChildOf(const TraceContext& parent, Random& random) {
  TraceContext child = parent;
  FillRandom(child.span_id, random);
  return child;
}

std::string ToHex(const TraceId& id) {
  return WriteHex(id);
}

std::string ToHex(const SpanId& id) {
  return WriteHex(id);
}

}  // namespace bilberryspool::telemetry
