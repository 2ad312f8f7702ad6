// Estimates the load of each expert, now and at a later time of day.
//
// Smooths noise and tolerates reports that arrive late, out of order, twice or
// with gaps. A profile learned from previous days accounts for popularity that
// follows the time of day.

#ifndef LIBS_PLACEMENT_POPULARITY_ESTIMATOR_H_
#define LIBS_PLACEMENT_POPULARITY_ESTIMATOR_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "libs/base/time.h"
#include "libs/placement/expert_loads.h"

namespace bilberryspool::placement {

struct EstimatorOptions {
  std::uint32_t layers = 0;
  std::uint32_t experts = 0;
  // Half-life of the weight of a count.
  Duration half_life = Seconds(300);
  // Reports older than this are dropped.
  Duration max_report_age = Seconds(3600);
  // Time of day at the epoch of TimePoint.
  Duration day_offset{};
  // Number of buckets into which the daily profile divides a day.
  std::uint32_t buckets = 48;
  // Weight of a new day in the profile (exponential moving average).
  double day_weight = 0.5;
};

// Tokens routed to each expert in a time interval, as counted by one rank.
// `number` increases with each report of one incarnation of the rank.
struct CountReport {
  RankIndex rank;
  Incarnation incarnation;
  std::uint64_t number = 0;
  TimePoint from;
  TimePoint until;
  ExpertLoads tokens;
};

// Exponentially decayed load estimate with a daily profile for forecasts.
class PopularityEstimator {
 public:
  explicit PopularityEstimator(EstimatorOptions options);

  // Adds a report. Returns false if it is a duplicate, too old or for another
  // number of layers or experts.
  bool Observe(const CountReport& report, TimePoint now);

  // Tokens per second of each expert, summed over the ranks.
  ExpertLoads Estimate() const;
  // Current estimate adjusted by the change that the profile shows between
  // `now` and `at`, scaled by profile_confidence(). Equals Estimate() until the
  // profile covers both times.
  ExpertLoads Forecast(TimePoint now, TimePoint at) const;
  // Mean of the forecasts over the time from `now` to `now + horizon`.
  ExpertLoads ForecastOver(TimePoint now, Duration horizon) const;
  // Weight of the profile in forecasts, from 0 (ignored) to 1 (fully applied).
  double profile_confidence() const;

 private:
  struct Source {
    Incarnation incarnation;
    std::set<std::uint64_t> numbers;  // of recent reports
    ExpertLoads tokens;               // decayed
    double seconds = 0;               // decayed
    TimePoint latest;
  };

  bool IsNew(Source& source, const CountReport& report) const;
  std::size_t BucketOf(TimePoint time) const;
  void UpdateProfile(TimePoint now);
  void EvaluateProfile(const ExpertLoads& shares, std::size_t bucket);
  // Profile interpolated between the ends of two buckets; empty if unknown.
  std::vector<double> ProfileAt(TimePoint time) const;
  // Mean age of the counts in an estimate.
  Duration Lag() const;

  EstimatorOptions options_;
  std::map<RankIndex, Source> sources_;
  std::vector<ExpertLoads> profile_;  // by bucket: fractions of a layer's load
  std::vector<bool> profile_known_;
  std::size_t learned_bucket_ = 0;
  bool started_ = false;
  ExpertLoads last_shares_;  // at the end of the previous bucket
  // Smoothed errors of predicting the next bucket from the profile and, as the
  // baseline, from no change.
  double profile_error_ = 0;
  double baseline_error_ = 0;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_POPULARITY_ESTIMATOR_H_
