// Reads the head of a caller's request and makes the heads to forward.

#ifndef PLUGINS_GATEWAY_REQUEST_HEAD_H_
#define PLUGINS_GATEWAY_REQUEST_HEAD_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/time.h"
#include "libs/net/http_message.h"
#include "libs/traffic/header_names.h"

namespace bilberryspool::gateway {

// Timeout of a request that names none and whose route is not known yet.
inline constexpr Duration kDefaultTimeout = Seconds(8);

struct RequestHead {
  std::string request_id;
  std::string host;  // normalized
  std::string path;  // without a query
  std::string key;
  // Ids of the prompt parts that other requests may share.
  std::vector<std::string> shared_parts;
  // How long the caller waits; empty if it does not say.
  std::optional<Duration> wait_timeout;
};

RequestHead ReadHead(const net::HttpRequest& request,
                     const traffic::HeaderNames& header_names);

// Header values that the gateway sets on a request to a target.
struct ForwardedHead {
  std::string workspace;  // empty: anonymous
  std::string target;
  Duration time_left{};
  std::uint32_t priority = 0;
  // Event after which the stream is resumed; empty: as sent by the caller.
  std::string last_event_id;
};

// The request to a target: the request of the caller without credentials and
// connection fields, with the fields of `head`.
net::HttpRequest MakeTargetRequest(const net::HttpRequest& request,
                                   const ForwardedHead& head,
                                   const traffic::HeaderNames& header_names);

// The head of a target's answer without the fields that concern only its
// connection.
net::HttpResponseHead MakeCallerHead(const net::HttpResponseHead& head);

struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};
// Parses "RUNNING,WAITING,SLOTS". Returns nothing if `text` is malformed.
std::optional<ReportedLoad> ReadLoad(std::string_view text);

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_REQUEST_HEAD_H_
