#include "libs/telemetry/registry.h"

#include <algorithm>
#include <map>
#include <mutex>
#include <variant>
#include <vector>

#include <prometheus/text_serializer.h>

#include "libs/base/check.h"
#include "libs/base/overloaded.h"

namespace bilberryspool::telemetry {
namespace {

using prometheus::ClientMetric;
using prometheus::MetricFamily;
using prometheus::MetricType;

constexpr const char* kOverflowValue = "other";

// Instances of one metric by their labels.
template <typename Metric>
using Instances = std::map<Labels, std::unique_ptr<Metric>>;
using AnyInstances =
    std::variant<Instances<Counter>, Instances<Gauge>, Instances<Distribution>>;

struct Family {
  std::string help;
  AnyInstances instances;
};

std::vector<std::string> NamesOf(const Labels& labels) {
  std::vector<std::string> names;
  names.reserve(labels.size());
  for (const Label& label : labels) {
    names.push_back(label.name);
  }
  return names;
}

bool AreLabelNames(const Labels& labels) {
  return std::all_of(labels.begin(), labels.end(), [](const Label& label) {
    return IsLabelName(label.name);
  });
}

MetricType TypeOf(const AnyInstances& instances) {
  return std::visit(
      Overloaded{
          [](const Instances<Counter>&) { return MetricType::Counter; },
          [](const Instances<Gauge>&) { return MetricType::Gauge; },
          [](const Instances<Distribution>&) { return MetricType::Summary; },
      },
      instances);
}

void Fill(ClientMetric& exported, const Counter& counter) {
  exported.counter.value = static_cast<double>(counter.value());
}

void Fill(ClientMetric& exported, const Gauge& gauge) {
  exported.gauge.value = gauge.value();
}

void Fill(ClientMetric& exported, const Distribution& distribution) {
  const DistributionSummary summary = distribution.summary();
  exported.summary.sample_count = summary.count;
  exported.summary.sample_sum = summary.sum;
  for (const Quantile& quantile : summary.quantiles) {
    exported.summary.quantile.push_back({quantile.probability, quantile.value});
  }
}

MetricFamily ToPrometheus(const std::string& name, const Family& family) {
  MetricFamily exported{name, family.help, TypeOf(family.instances), {}};
  std::visit(
      [&](const auto& instances) {
        for (const auto& [labels, metric] : instances) {
          ClientMetric& added = exported.metric.emplace_back();
          for (const Label& label : labels) {
            added.label.push_back({label.name, label.value});
          }
          Fill(added, *metric);
        }
      },
      family.instances);
  return exported;
}

}  // namespace

struct Registry::Private {
  RegistryOptions options;
  mutable std::mutex mutex;
  std::map<std::string, Family> families;
  Counter label_overflows;

  template <typename Metric>
  Metric& Find(const MetricId& id, Labels labels) {
    BILBERRYSPOOL_INVARIANT(IsMetricName(id.name) && AreLabelNames(labels),
                            "names of metrics and labels fit Prometheus");
    std::sort(labels.begin(), labels.end());
    const std::lock_guard lock(mutex);
    auto& instances = InstancesOf<Metric>(id);
    auto found = instances.find(labels);
    if (found != instances.end()) {
      return *found->second;
    }
    BILBERRYSPOOL_INVARIANT(
        instances.empty() ||
            NamesOf(instances.begin()->first) == NamesOf(labels),
        "a metric has the same label names at each use");
    if (instances.size() >= options.max_label_sets) {
      label_overflows.Add();
      for (Label& label : labels) {
        label.value = kOverflowValue;
      }
    }
    auto& metric = instances[std::move(labels)];
    if (metric == nullptr) {
      metric = std::make_unique<Metric>();
    }
    return *metric;
  }

  template <typename Metric>
  Instances<Metric>& InstancesOf(const MetricId& id) {
    const auto [entry, is_new] =
        families.try_emplace(id.name, Family{id.help, Instances<Metric>{}});
    static_cast<void>(is_new);
    auto* instances = std::get_if<Instances<Metric>>(&entry->second.instances);
    BILBERRYSPOOL_INVARIANT(instances != nullptr,
                            "a metric has the same kind at each use");
    return *instances;
  }
};

Registry::Registry(RegistryOptions options) : d_(std::make_unique<Private>()) {
  d_->options = options;
}

Registry::~Registry() = default;

Counter& Registry::CounterFor(const MetricId& id, Labels labels) {
  return d_->Find<Counter>(id, std::move(labels));
}

Gauge& Registry::GaugeFor(const MetricId& id, Labels labels) {
  return d_->Find<Gauge>(id, std::move(labels));
}

Distribution& Registry::DistributionFor(const MetricId& id, Labels labels) {
  return d_->Find<Distribution>(id, std::move(labels));
}

void Registry::StartWindows() {
  const std::lock_guard lock(d_->mutex);
  for (const auto& [name, family] : d_->families) {
    const auto* distributions =
        std::get_if<Instances<Distribution>>(&family.instances);
    if (distributions == nullptr) {
      continue;
    }
    for (const auto& [labels, distribution] : *distributions) {
      distribution->StartWindow();
    }
  }
}

std::uint64_t Registry::label_overflows() const {
  return d_->label_overflows.value();
}

std::string Registry::ToPrometheusText() const {
  std::vector<MetricFamily> exported;
  {
    const std::lock_guard lock(d_->mutex);
    for (const auto& [name, family] : d_->families) {
      exported.push_back(ToPrometheus(name, family));
    }
  }
  ClientMetric overflows;
  Fill(overflows, d_->label_overflows);
  exported.push_back({"bilberryspool_metrics_label_overflow_total",
                      "Look-ups of metrics beyond the bound of label sets.",
                      MetricType::Counter,
                      {overflows}});
  const prometheus::Serializer& serializer = prometheus::TextSerializer();
  return serializer.Serialize(exported);
}

}  // namespace bilberryspool::telemetry
