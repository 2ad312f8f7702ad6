#include "plugins/gateway/request_stats.h"

#include <doctest/doctest.h>

namespace bilberryspool::gateway {
namespace {

bool HasLine(const telemetry::Registry& registry, const std::string& line) {
  return registry.ToPrometheusText().find(line + "\n") != std::string::npos;
}

TEST_CASE("requests are counted by service and outcome") {
  telemetry::Registry registry;
  RequestStats stats(registry);
  RequestTimes plain;
  plain.total = Milliseconds(250);
  stats.RecordRequest(ServiceId("a"), "served", plain);
  stats.RecordRequest(ServiceId("a"), "served", plain);
  stats.RecordRequest(ServiceId("b"), "refused", plain);
  CHECK(
      HasLine(registry,
              "bilberryspool_requests_total{outcome=\"served\",service=\"a\"} "
              "2"));
  CHECK(
      HasLine(registry,
              "bilberryspool_requests_total{outcome=\"refused\",service=\"b\"} "
              "1"));
  CHECK(HasLine(registry,
                "bilberryspool_request_seconds_count{service=\"a\"} 2"));
  CHECK(HasLine(registry,
                "bilberryspool_request_seconds_sum{service=\"a\"} 0.5"));
}

TEST_CASE("only requests with an event are recorded as first events") {
  telemetry::Registry registry;
  RequestStats stats(registry);
  RequestTimes stream;
  stream.total = Seconds(1);
  stream.first_event = Milliseconds(500);
  stream.max_pause = Milliseconds(125);
  stats.RecordRequest(ServiceId("a"), "served", stream);
  stats.RecordRequest(ServiceId("a"), "refused", RequestTimes{});
  CHECK(HasLine(registry,
                "bilberryspool_first_event_seconds_count{service=\"a\"} 1"));
  CHECK(HasLine(registry,
                "bilberryspool_first_event_seconds_sum{service=\"a\"} 0.5"));
  CHECK(
      HasLine(registry,
              "bilberryspool_longest_pause_seconds_sum{service=\"a\"} 0.125"));
}

}  // namespace
}  // namespace bilberryspool::gateway
