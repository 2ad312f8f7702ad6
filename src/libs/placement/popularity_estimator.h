// Estimates how much work each expert gets, now and at a later time of day.
//
// Guards against acting on noise and on yesterday's news: counts come late,
// out of order, twice and with gaps, and popularity follows the hours.

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
  // After this long a count weighs half.
  Duration half_life = Seconds(300);
  // Counts older than this are dropped.
  Duration max_report_age = Seconds(3600);
  // Time of day at the start of the time line.
  Duration day_offset{};
  // Of the daily shape: a day is divided into this many buckets.
  std::uint32_t buckets = 48;
  // Weight of a new day in the learned shape.
  double day_weight = 0.5;
};

// Tokens routed to each expert between two times, as counted by one rank.
// `number` rises with each report of one incarnation of the rank.
struct CountReport {
  RankIndex rank;
  Incarnation incarnation;
  std::uint64_t number = 0;
  TimePoint from;
  TimePoint until;
  ExpertLoads tokens;
};

class PopularityEstimator {
 public:
  explicit PopularityEstimator(EstimatorOptions options);

  // False where the report was seen before, is too old or has another shape.
  bool Observe(const CountReport& report, TimePoint now);

  // Tokens per second of each expert, summed over the ranks.
  ExpertLoads Estimate() const;
  // The estimate with the change that earlier days showed between `now` and
  // `at`, as far as that has foretold this day; the plain estimate before a
  // day has been seen.
  ExpertLoads Forecast(TimePoint now, TimePoint at) const;
  // The mean of forecasts over the time ahead.
  ExpertLoads ForecastOver(TimePoint now, Duration horizon) const;
  // How far the learned shape is followed: 0 not at all, 1 fully.
  double profile_confidence() const;

 private:
  struct Source {
    Incarnation incarnation;
    std::set<std::uint64_t> numbers;  // recent ones
    ExpertLoads tokens;               // decayed
    double seconds = 0;               // decayed
    TimePoint latest;
  };

  bool IsNew(Source& source, const CountReport& report) const;
  std::size_t BucketOf(TimePoint time) const;
  void UpdateProfile(TimePoint now);
  void EvaluateProfile(const ExpertLoads& shares, std::size_t bucket);
  // The learned shape between the ends of two buckets; empty if unknown.
  std::vector<double> ProfileAt(TimePoint time) const;
  // How old the counts in an estimate are on average.
  Duration Lag() const;

  EstimatorOptions options_;
  std::map<RankIndex, Source> sources_;
  std::vector<ExpertLoads> profile_;  // by bucket: shares of a layer's work
  std::vector<bool> profile_known_;
  std::size_t learned_bucket_ = 0;
  bool started_ = false;
  ExpertLoads last_shares_;  // at the end of the bucket before
  // Smoothed errors of foretelling the next bucket by the shape, and by
  // expecting no change.
  double profile_error_ = 0;
  double baseline_error_ = 0;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_POPULARITY_ESTIMATOR_H_
