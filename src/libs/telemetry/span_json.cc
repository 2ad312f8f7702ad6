#include "libs/telemetry/span_json.h"

#include <boost/json.hpp>

#include "libs/base/overloaded.h"

namespace bilberryspool::telemetry {
namespace {

namespace json = boost::json;

constexpr int kStatusError = 2;

// OTLP encodes 64-bit integers as strings.
json::object ToJson(const AttributeValue& value) {
  return std::visit(
      Overloaded{
          [](const std::string& text) {
            return json::object{{"stringValue", text}};
          },
          [](std::int64_t number) {
            return json::object{{"intValue", std::to_string(number)}};
          },
          [](double number) {
            return json::object{{"doubleValue", number}};
          },
          [](bool flag) {
            return json::object{{"boolValue", flag}};
          },
      },
      value);
}

json::array ToJson(const std::vector<Attribute>& attributes) {
  json::array array;
  for (const Attribute& attribute : attributes) {
    array.push_back(json::object{{"key", attribute.key},
                                 {"value", ToJson(attribute.value)}});
  }
  return array;
}

json::object ToJson(const Span& span) {
  json::object object;
  object["traceId"] = ToHex(span.context.trace_id);
  object["spanId"] = ToHex(span.context.span_id);
  if (span.parent) {
    object["parentSpanId"] = ToHex(*span.parent);
  }
  object["name"] = span.name;
  object["kind"] = static_cast<int>(span.kind);
  object["startTimeUnixNano"] = std::to_string(span.start.value());
  object["endTimeUnixNano"] = std::to_string(span.end.value());
  object["attributes"] = ToJson(span.attributes);
  if (!span.error.empty()) {
    object["status"] =
        json::object{{"code", kStatusError}, {"message", span.error}};
  }
  return object;
}

}  // namespace

std::string ToOtlpJson(const std::vector<Span>& spans,
                       const std::vector<Attribute>& resource) {
  json::array list;
  for (const Span& span : spans) {
    list.push_back(ToJson(span));
  }
  json::object scope{{"scope", json::object{{"name", "bilberryspool"}}},
                     {"spans", std::move(list)}};
  json::array scopes;
  scopes.push_back(std::move(scope));
  json::object origin{
      {"resource", json::object{{"attributes", ToJson(resource)}}},
      {"scopeSpans", std::move(scopes)}};
  json::array origins;
  origins.push_back(std::move(origin));
  return json::serialize(json::object{{"resourceSpans", std::move(origins)}});
}

}  // namespace bilberryspool::telemetry
