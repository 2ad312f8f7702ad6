#ifndef LIBS_TELEMETRY_REGISTRY_H_
#define LIBS_TELEMETRY_REGISTRY_H_

#include <cstddef>
#include <memory>
#include <string>

#include "libs/telemetry/counter.h"
#include "libs/telemetry/distribution.h"
#include "libs/telemetry/gauge.h"
#include "libs/telemetry/label.h"

namespace bilberryspool::telemetry {

// Name and help text of a metric; the unit is the last word of the name except
// for "_total" ("bilberryspool_queue_seconds").
struct MetricId {
  std::string name;
  std::string help;
};

struct RegistryOptions {
  // Maximum number of label sets of one metric. Otherwise a caller who sends a
  // new value with each request could exhaust the memory; further label sets
  // share one whose values are all "other".
  std::size_t max_label_sets = 1000;
};

// The metrics of one process or one test. Thread-safe. References are valid as
// long as the registry; hot paths look a metric up once and keep the reference.
//
// Each name must always be used with the same kind of metric and the same label
// names; this is an invariant of the program.
class Registry {
 public:
  explicit Registry(RegistryOptions options = {});
  ~Registry();
  Registry(const Registry&) = delete;
  Registry& operator=(const Registry&) = delete;

  // Each returns the metric with this name and labels, creating it if needed.
  Counter& CounterFor(const MetricId& id, Labels labels = {});
  Gauge& GaugeFor(const MetricId& id, Labels labels = {});
  Distribution& DistributionFor(const MetricId& id, Labels labels = {});

  // Calls StartWindow() of each distribution; called periodically, as the
  // interval decides how recent the quantiles are.
  void StartWindows();

  // Number of look-ups that got the label set "other" since the start; also
  // exported as bilberryspool_metrics_label_overflow_total.
  std::uint64_t label_overflows() const;

  // All metrics in the Prometheus text format.
  std::string ToPrometheusText() const;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace bilberryspool::telemetry

#endif  // LIBS_TELEMETRY_REGISTRY_H_
