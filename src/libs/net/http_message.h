// HTTP messages independent of the HTTP library.

#ifndef LIBS_NET_HTTP_MESSAGE_H_
#define LIBS_NET_HTTP_MESSAGE_H_

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryspool::net {

struct HttpHeader {
  std::string name;
  std::string value;
};

// Header fields in their order; names are case-insensitive.
class HttpHeaders {
 public:
  // The first value of `name`.
  std::optional<std::string_view> Find(std::string_view name) const;
  // The first value of `name`, or `fallback`.
  std::string_view ValueOr(std::string_view name,
                           std::string_view fallback) const;
  void Add(std::string name, std::string value);
  // Replaces all fields of that name.
  void Set(std::string_view name, std::string value);
  void Remove(std::string_view name);
  // Removes all fields with one of the names, which are in lower case.
  void RemoveAll(const std::set<std::string>& names);

  std::vector<HttpHeader>::const_iterator begin() const {
    return fields_.begin();
  }
  std::vector<HttpHeader>::const_iterator end() const { return fields_.end(); }

 private:
  std::vector<HttpHeader> fields_;
};

struct HttpRequest {
  std::string method = "GET";
  std::string target = "/";
  HttpHeaders headers;
  std::string body;
};

// Status and header fields; the body follows as a whole or in pieces.
struct HttpResponseHead {
  int status = 200;
  HttpHeaders headers;
};

struct HttpResponse {
  HttpResponseHead head;
  std::string body;
};

// Returns true for fields that apply to one connection only and that a relay
// must not forward (RFC 9110, section 7.6.1).
bool IsHopByHopHeader(std::string_view name);

std::string ToLower(std::string_view name);

// Compares header names case-insensitively.
bool EqualNames(std::string_view left, std::string_view right);

}  // namespace bilberryspool::net

#endif  // LIBS_NET_HTTP_MESSAGE_H_
