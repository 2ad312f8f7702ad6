#include "plugins/gateway/request_figures.h"

#include <doctest/doctest.h>

namespace bilberryspool::gateway {
namespace {

bool Shows(const telemetry::Registry& registry, const std::string& line) {
  return registry.ToPrometheusText().find(line + "\n") != std::string::npos;
}

TEST_CASE("requests are counted by service and outcome") {
  telemetry::Registry registry;
  RequestFigures figures(registry);
  RequestTimes plain;
  plain.whole = Milliseconds(250);
  figures.Note(ServiceId("a"), "served", plain);
  figures.Note(ServiceId("a"), "served", plain);
  figures.Note(ServiceId("b"), "refused", plain);
  CHECK(Shows(registry,
              "bilberryspool_requests_total{outcome=\"served\",service=\"a\"} "
              "2"));
  CHECK(Shows(registry,
              "bilberryspool_requests_total{outcome=\"refused\",service=\"b\"} "
              "1"));
  CHECK(
      Shows(registry, "bilberryspool_request_seconds_count{service=\"a\"} 2"));
  CHECK(
      Shows(registry, "bilberryspool_request_seconds_sum{service=\"a\"} 0.5"));
}

TEST_CASE("only requests that had an event count among first events") {
  telemetry::Registry registry;
  RequestFigures figures(registry);
  RequestTimes stream;
  stream.whole = Seconds(1);
  stream.first_event = Milliseconds(500);
  stream.longest_pause = Milliseconds(125);
  figures.Note(ServiceId("a"), "served", stream);
  figures.Note(ServiceId("a"), "refused", RequestTimes{});
  CHECK(Shows(registry,
              "bilberryspool_first_event_seconds_count{service=\"a\"} 1"));
  CHECK(Shows(registry,
              "bilberryspool_first_event_seconds_sum{service=\"a\"} 0.5"));
  CHECK(Shows(registry,
              "bilberryspool_longest_pause_seconds_sum{service=\"a\"} 0.125"));
}

}  // namespace
}  // namespace bilberryspool::gateway
