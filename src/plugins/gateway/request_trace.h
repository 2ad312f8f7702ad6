// The spans of one request at a gateway: one for the request, one for each
// send.

#ifndef PLUGINS_GATEWAY_REQUEST_TRACE_H_
#define PLUGINS_GATEWAY_REQUEST_TRACE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libs/base/random.h"
#include "libs/net/http_message.h"
#include "libs/telemetry/trace.h"

namespace bilberryspool::gateway {

// Destination and sampling rate of the spans, shared by all requests.
struct Tracing {
  std::optional<telemetry::SpanWriter> spans;  // none: no traces
  // Number of sampled requests out of 1000 that arrive without a trace.
  std::uint32_t sample_permille = 0;
};

// Writes the spans of one request.
class RequestTrace {
 public:
  // Continues the caller's trace if the request carries one.
  RequestTrace(Tracing& tracing,
               const net::HttpHeaders& headers,
               Random& random);

  // Starts the span of a send and adds its traceparent to the request.
  void StartSend(net::HttpRequest& request);
  // Ends the span of the present send. An empty `error` means success.
  void EndSend(const std::string& target, const std::string& error);
  // Ends the span of the request.
  void End(const std::string& request_id, const std::string& outcome);

 private:
  bool is_on() const { return tracing_.spans.has_value(); }

  Tracing& tracing_;
  Random& random_;
  telemetry::TraceContext context_;
  std::optional<telemetry::SpanId> parent_;
  telemetry::WallTime start_;
  telemetry::TraceContext send_;
  telemetry::WallTime send_start_;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_REQUEST_TRACE_H_
