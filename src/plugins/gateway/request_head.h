// The head of a caller's request, read once, and the heads that are passed on.

#ifndef PLUGINS_GATEWAY_REQUEST_HEAD_H_
#define PLUGINS_GATEWAY_REQUEST_HEAD_H_

#include <optional>
#include <string>
#include <string_view>

#include "libs/base/time.h"
#include "libs/net/http_message.h"
#include "libs/traffic/wire_dialect.h"

namespace bilberryspool::gateway {

struct RequestHead {
  std::string request_id;
  std::string host;  // without a port
  std::string path;  // without a query
  std::string key;
  // How long the caller waits; nothing where it does not say.
  std::optional<Duration> wait_timeout;
};

RequestHead ReadHead(const net::HttpRequest& request,
                     const traffic::WireDialect& header_names);

// What the gateway sets on a request to a target.
struct ForwardedHead {
  std::string workspace;  // empty: anonymous
  std::string target;
  Duration time_left{};
  std::uint32_t priority = 0;
  // Where the stream goes on; empty: as the caller said.
  std::string last_event_id;
};

net::HttpRequest MakeTargetRequest(const net::HttpRequest& request,
                                   const ForwardedHead& head,
                                   const traffic::WireDialect& header_names);

// A target's head without what concerns its connection alone.
net::HttpResponseHead MakeCallerHead(const net::HttpResponseHead& head);

struct ReportedLoad {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};
// "RUNNING,WAITING,SLOTS"; nothing where `text` is something else.
std::optional<ReportedLoad> ReadLoad(std::string_view text);

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_REQUEST_HEAD_H_
