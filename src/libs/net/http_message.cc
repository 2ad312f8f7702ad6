#include "libs/net/http_message.h"

#include <algorithm>
#include <array>
#include <cctype>

namespace bilberryspool::net {

bool EqualNames(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::optional<std::string_view> HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader& field : fields_) {
    if (EqualNames(field.name, name)) {
      return field.value;
    }
  }
  return std::nullopt;
}

std::string_view HttpHeaders::ValueOr(std::string_view name,
                                      std::string_view fallback) const {
  return Find(name).value_or(fallback);
}

void HttpHeaders::Add(std::string name, std::string value) {
  fields_.push_back({std::move(name), std::move(value)});
}

void HttpHeaders::Set(std::string_view name, std::string value) {
  Remove(name);
  Add(std::string(name), std::move(value));
}

void HttpHeaders::Remove(std::string_view name) {
  std::erase_if(fields_, [name](const HttpHeader& field) {
    return EqualNames(field.name, name);
  });
}

void HttpHeaders::RemoveAll(const std::set<std::string>& names) {
  std::erase_if(fields_, [&names](const HttpHeader& field) {
    return names.contains(ToLower(field.name));
  });
}

std::string ToLower(std::string_view name) {
  std::string lower(name);
  std::transform(lower.begin(), lower.end(), lower.begin(),
                 [](unsigned char byte) { return std::tolower(byte); });
  return lower;
}

bool IsHopByHopHeader(std::string_view name) {
  static constexpr std::array<std::string_view, 9> kNames = {
      "connection", "keep-alive",         "proxy-connection",
      "te",         "transfer-encoding",  "trailer",
      "upgrade",    "proxy-authenticate", "content-length"};
  return std::any_of(
      kNames.begin(), kNames.end(),
      [name](std::string_view hop) { return EqualNames(hop, name); });
}

}  // namespace bilberryspool::net
