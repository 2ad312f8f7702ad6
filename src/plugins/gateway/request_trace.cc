#include "plugins/gateway/request_trace.h"

#include <utility>

#include "libs/net/steady_time.h"

namespace bilberryspool::gateway {

namespace {

telemetry::WallTime WallNow() {
  return telemetry::WallTime(net::WallNanoseconds());
}

}  // namespace

RequestTrace::RequestTrace(Tracing& tracing,
                           const net::HttpHeaders& headers,
                           Random& random)
    : tracing_(tracing), random_(random) {
  if (!is_on()) {
    return;
  }
  start_ = WallNow();
  const auto parent = telemetry::ParseTraceparent(
      headers.ValueOr(telemetry::kTraceparentHeader, ""));
  if (parent.has_value()) {
    parent_ = parent->span_id;
    context_ = telemetry::ChildOf(*parent, random_);
    return;
  }
  constexpr std::uint64_t kPermille = 1000;
  const bool is_sampled = random_.Below(kPermille) < tracing_.sample_permille;
  context_ = telemetry::NewTrace(random_, is_sampled);
}

void RequestTrace::StartSend(net::HttpRequest& request) {
  if (!is_on()) {
    return;
  }
  send_ = telemetry::ChildOf(context_, random_);
  send_start_ = WallNow();
  request.headers.Set(telemetry::kTraceparentHeader,
                      telemetry::FormatTraceparent(send_));
}

void RequestTrace::EndSend(const std::string& target,
                           const std::string& error) {
  if (!is_on()) {
    return;
  }
  telemetry::Span span;
  span.name = "target";
  span.context = send_;
  span.parent = context_.span_id;
  span.kind = telemetry::SpanKind::kClient;
  span.start = send_start_;
  span.end = WallNow();
  span.attributes = {{"target", target}};
  span.error = error;
  tracing_.spans->Write(std::move(span));
}

void RequestTrace::End(const std::string& request_id,
                       const std::string& outcome) {
  if (!is_on()) {
    return;
  }
  telemetry::Span span;
  span.name = "gateway";
  span.context = context_;
  span.parent = parent_;
  span.kind = telemetry::SpanKind::kServer;
  span.start = start_;
  span.end = WallNow();
  span.attributes = {{"request", request_id}, {"outcome", outcome}};
  if (outcome != "served") {
    span.error = outcome;
  }
  tracing_.spans->Write(std::move(span));
}

}  // namespace bilberryspool::gateway
