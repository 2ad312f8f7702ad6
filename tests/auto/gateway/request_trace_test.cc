#include "plugins/gateway/request_trace.h"

#include <doctest/doctest.h>

#include "auto/telemetry/temporary_file.h"
#include "libs/telemetry/open_spans.h"

namespace bilberryspool::gateway {
namespace {

constexpr char kParent[] =
    "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

telemetry::SpanWriter OpenWriter(const std::string& file) {
  auto opened = telemetry::OpenSpanWriter(file, "test", "gateway-1");
  REQUIRE(opened.has_value());
  return std::move(*opened);
}

TEST_CASE("without a span file a request keeps its traceparent") {
  Tracing tracing;
  Random random(1);
  net::HttpRequest request;
  request.headers.Add("traceparent", kParent);
  RequestTrace trace(tracing, request.headers, random);
  trace.StartSend(request);
  trace.EndSend("t", "");
  trace.End("id", "served");
  CHECK(request.headers.ValueOr("traceparent", "") == kParent);
}

TEST_CASE("a send carries a span of its own in the caller's trace") {
  const telemetry::TemporaryFile file("gateway_spans");
  Tracing tracing{OpenWriter(file.path()), 0};
  Random random(1);
  net::HttpRequest request;
  request.headers.Add("traceparent", kParent);
  RequestTrace trace(tracing, request.headers, random);
  trace.StartSend(request);
  const auto first =
      telemetry::ParseTraceparent(request.headers.ValueOr("traceparent", ""));
  trace.EndSend("t", "not served");
  trace.StartSend(request);
  const auto second =
      telemetry::ParseTraceparent(request.headers.ValueOr("traceparent", ""));
  trace.EndSend("u", "");
  trace.End("id", "served");
  const auto parent = telemetry::ParseTraceparent(kParent);
  REQUIRE((first.has_value() && second.has_value() && parent.has_value()));
  CHECK(first->trace_id == parent->trace_id);
  CHECK(second->trace_id == parent->trace_id);
  CHECK(first->span_id != parent->span_id);
  CHECK(first->span_id != second->span_id);
  tracing.spans->Stop();
  CHECK(tracing.spans->written() == 3);
}

TEST_CASE("requests without a trace are sampled") {
  for (const std::uint32_t permille : {0U, 1000U}) {
    const telemetry::TemporaryFile file("gateway_sampled");
    Tracing tracing{OpenWriter(file.path()), permille};
    Random random(1);
    net::HttpRequest request;
    RequestTrace trace(tracing, request.headers, random);
    trace.StartSend(request);
    const auto sent =
        telemetry::ParseTraceparent(request.headers.ValueOr("traceparent", ""));
    REQUIRE(sent.has_value());
    CHECK(sent->is_sampled == (permille > 0));
  }
}

}  // namespace
}  // namespace bilberryspool::gateway
