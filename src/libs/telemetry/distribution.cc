#include "libs/telemetry/distribution.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <mutex>
#include <optional>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

namespace bilberryspool::telemetry {
namespace {

namespace accumulators = boost::accumulators;

constexpr std::array<double, 5> kProbabilities = {0.5, 0.9, 0.95, 0.99, 0.999};
// The P² algorithm needs several samples per marker before its estimates are
// meaningful.
constexpr std::size_t kExactSamples = 64;

using QuantileSet = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::extended_p_square>>;
using TotalSet = accumulators::accumulator_set<
    double,
    accumulators::stats<accumulators::tag::count, accumulators::tag::sum>>;

// The samples between two calls of StartWindow().
class Window {
 public:
  Window()
      : estimates_(accumulators::tag::extended_p_square::probabilities =
                       kProbabilities) {}

  void Record(double sample) {
    estimates_(sample);
    if (first_samples_.size() <= kExactSamples) {
      first_samples_.push_back(sample);
    }
  }

  std::vector<Quantile> Quantiles() const {
    if (first_samples_.size() <= kExactSamples) {
      return ExactQuantiles();
    }
    const auto estimates = accumulators::extended_p_square(estimates_);
    std::vector<Quantile> quantiles;
    for (std::size_t i = 0; i < kProbabilities.size(); ++i) {
      quantiles.push_back({kProbabilities[i], estimates[i]});
    }
    return quantiles;
  }

  bool is_empty() const { return first_samples_.empty(); }

 private:
  std::vector<Quantile> ExactQuantiles() const {
    if (first_samples_.empty()) {
      return {};
    }
    std::vector<double> sorted = first_samples_;
    std::sort(sorted.begin(), sorted.end());
    std::vector<Quantile> quantiles;
    for (const double probability : kProbabilities) {
      const double rank =
          std::ceil(probability * static_cast<double>(sorted.size()));
      const auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
      quantiles.push_back({probability, sorted[index]});
    }
    return quantiles;
  }

  QuantileSet estimates_;
  std::vector<double> first_samples_;
};

}  // namespace

struct Distribution::Private {
  mutable std::mutex mutex;
  TotalSet total;
  Window current_window;
  std::optional<Window> last_window;
};

Distribution::Distribution() : d_(std::make_unique<Private>()) {}
Distribution::~Distribution() = default;

void Distribution::Record(double sample) {
  if (!std::isfinite(sample)) {
    return;
  }
  const std::lock_guard lock(d_->mutex);
  d_->total(sample);
  d_->current_window.Record(sample);
}

void Distribution::StartWindow() {
  const std::lock_guard lock(d_->mutex);
  d_->last_window.emplace(std::move(d_->current_window));
  d_->current_window = Window();
}

DistributionSummary Distribution::summary() const {
  const std::lock_guard lock(d_->mutex);
  DistributionSummary summary;
  summary.count = accumulators::count(d_->total);
  summary.sum = accumulators::sum(d_->total);
  const Window& summarized =
      d_->last_window ? *d_->last_window : d_->current_window;
  summary.quantiles = summarized.Quantiles();
  return summary;
}

}  // namespace bilberryspool::telemetry
