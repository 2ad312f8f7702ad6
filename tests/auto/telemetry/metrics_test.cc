#include <doctest/doctest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <thread>
#include <vector>

#include "libs/base/random.h"
#include "libs/telemetry/metrics.h"

namespace bilberryspool::telemetry {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("metrics are shown in the Prometheus text format") {
  Registry registry;
  const MetricId requests{"requests_total", "Requests by outcome."};
  registry.CounterFor(requests, {{"outcome", "ok"}}).Add(3);
  registry.CounterFor(requests, {{"outcome", "say \"no\"\n"}}).Add();
  registry.GaugeFor({"open_links", "Links."}).Set(2);
  Distribution& wait = registry.DistributionFor({"wait_seconds", "Wait."});
  wait.Record(1);
  wait.Record(3);
  wait.Record(std::numeric_limits<double>::quiet_NaN());
  const std::string text = registry.ToPrometheusText();
  CAPTURE(text);
  for (const char* part :
       {"# TYPE requests_total counter", "requests_total{outcome=\"ok\"} 3",
        "requests_total{outcome=\"say \\\"no\\\"\\n\"} 1", "open_links 2",
        "# TYPE wait_seconds summary", "wait_seconds_count 2",
        "wait_seconds_sum 4", "wait_seconds{quantile=\"0.5\"} 1",
        "bilberryspool_metrics_label_overflow_total 0"}) {
    CHECK_MESSAGE(Contains(text, part), part);
  }
}

// Guards against memory growth of an entry until the process is terminated: a
// caller names a new workspace in each request, and each value would create a
// new metric.
TEST_CASE("label sets beyond the limit share one and are counted") {
  Registry registry(RegistryOptions{3});
  const MetricId id{"requests_total", "Requests."};
  for (int i = 0; i < 10; ++i) {
    registry.CounterFor(id, {{"workspace", std::to_string(i)}}).Add();
  }
  CHECK(registry.label_overflows() == 7);
  CHECK(registry.CounterFor(id, {{"workspace", "other"}}).value() == 7);
  CHECK(registry.CounterFor(id, {{"workspace", "0"}}).value() == 1);
}

TEST_CASE("quantiles are close to the true ones and cover the last window") {
  Distribution distribution;
  for (const int samples : {1, 10, 64, 65, 2000, 20000}) {
    Random random(static_cast<std::uint64_t>(samples));
    std::vector<double> values;
    for (int i = 0; i < samples; ++i) {
      values.push_back(-std::log(1 - random.Fraction()));
      distribution.Record(values.back());
    }
    distribution.StartWindow();
    std::sort(values.begin(), values.end());
    const DistributionSummary summary = distribution.summary();
    REQUIRE(summary.quantiles.size() == 5);
    for (const Quantile& quantile : summary.quantiles) {
      // Nearest-rank definition of the quantile.
      const double rank = std::ceil(quantile.probability * samples);
      const double truth = values[static_cast<std::size_t>(rank) - 1];
      CAPTURE(samples);
      CAPTURE(quantile.probability);
      if (samples <= 64) {
        CHECK(quantile.value == truth);
      } else if (samples * (1 - quantile.probability) >= 10) {
        // Enough samples lie above the quantile for an estimate.
        CHECK(quantile.value == doctest::Approx(truth).epsilon(0.15));
      }
    }
  }
  CHECK(distribution.summary().count == 22140);
}

TEST_CASE("many threads count and record together") {
  Registry registry;
  std::vector<std::thread> threads;
  threads.reserve(4);
  for (int i = 0; i < 4; ++i) {
    threads.emplace_back([&] {
      for (int j = 0; j < 2000; ++j) {
        registry.CounterFor({"events_total", "Events."}).Add();
        registry.GaugeFor({"level", "Level."}).Add(j % 2 == 0 ? 1 : -1);
        registry.DistributionFor({"size_bytes", "Sizes."}).Record(j);
        if (j % 500 == 0) {
          registry.StartWindows();
          CHECK_FALSE(registry.ToPrometheusText().empty());
        }
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  CHECK(registry.CounterFor({"events_total", "Events."}).value() == 8000);
  CHECK(registry.GaugeFor({"level", "Level."}).value() == 0);
  CHECK(registry.DistributionFor({"size_bytes", ""}).summary().count == 8000);
}

}  // namespace
}  // namespace bilberryspool::telemetry
