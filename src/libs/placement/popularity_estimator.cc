#include "libs/placement/popularity_estimator.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace bilberryspool::placement {
namespace {

constexpr Duration kDay = Seconds(86400);
constexpr std::size_t kMaxTrackedNumbers = 256;
// Limits of the factor applied to a load: a profile learned from few counts
// must not inflate or eliminate it.
constexpr double kMinRatio = 0.25;
constexpr double kMaxRatio = 4;
// Weight of the previous errors at each new bucket.
constexpr double kErrorDecay = 0.9;
// Number of forecasts that ForecastOver() averages.
constexpr int kForecastPoints = 3;

double DecayFactor(Duration age, Duration half_life) {
  return std::exp2(-ToSeconds(age) / ToSeconds(half_life));
}

void Scale(ExpertLoads& loads, double factor) {
  for (double& load : loads.values()) {
    load *= factor;
  }
}

void AddScaled(ExpertLoads& sum, const ExpertLoads& added, double factor) {
  for (std::size_t i = 0; i < sum.values().size(); ++i) {
    sum.values()[i] += factor * added.values()[i];
  }
}

// Fraction of each expert in the load of its layer.
ExpertLoads SharesOf(const ExpertLoads& loads) {
  ExpertLoads shares = loads;
  const std::size_t experts = loads.experts();
  for (std::size_t first = 0; first < shares.values().size();
       first += experts) {
    double total = 0;
    for (std::size_t i = first; i < first + experts; ++i) {
      total += shares.values()[i];
    }
    for (std::size_t i = first; total > 0 && i < first + experts; ++i) {
      shares.values()[i] /= total;
    }
  }
  return shares;
}

// Scales the loads by the change of the profile from `before` to `after`.
ExpertLoads ApplyProfileChange(ExpertLoads loads,
                               const std::vector<double>& before,
                               const std::vector<double>& after,
                               double profile_confidence) {
  for (std::size_t i = 0; i < loads.values().size(); ++i) {
    if (before[i] <= 0) {
      continue;
    }
    const double ratio = std::clamp(after[i] / before[i], kMinRatio, kMaxRatio);
    loads.values()[i] *= 1 + profile_confidence * (ratio - 1);
  }
  return loads;
}

}  // namespace

PopularityEstimator::PopularityEstimator(EstimatorOptions options)
    : options_(options),
      profile_(options.buckets, ExpertLoads(options.layers, options.experts)),
      profile_known_(options.buckets, false) {}

bool PopularityEstimator::Observe(const CountReport& report, TimePoint now) {
  const bool fits = report.tokens.layers() == options_.layers &&
                    report.tokens.experts() == options_.experts;
  const bool timely = report.until > report.from && report.until <= now &&
                      now - report.until <= options_.max_report_age;
  if (!fits || !timely) {
    return false;
  }
  Source& source = sources_[report.rank];
  if (!IsNew(source, report)) {
    return false;
  }
  // Must precede counting the report, which already belongs to the next bucket.
  UpdateProfile(now);
  double weight = 1;
  if (report.until > source.latest) {
    const double kept =
        DecayFactor(report.until - source.latest, options_.half_life);
    Scale(source.tokens, kept);
    source.seconds *= kept;
    source.latest = report.until;
  } else {
    weight = DecayFactor(source.latest - report.until, options_.half_life);
  }
  AddScaled(source.tokens, report.tokens, weight);
  source.seconds += weight * ToSeconds(report.until - report.from);
  return true;
}

// A restarted rank numbers its reports from the start; its earlier counts are
// kept.
bool PopularityEstimator::IsNew(Source& source,
                                const CountReport& report) const {
  if (source.tokens.values().empty()) {
    source.tokens = ExpertLoads(options_.layers, options_.experts);
    source.latest = report.until;
    source.incarnation = report.incarnation;
  }
  if (report.incarnation < source.incarnation) {
    return false;
  }
  if (report.incarnation > source.incarnation) {
    source.incarnation = report.incarnation;
    source.numbers.clear();
  }
  const bool forgotten = source.numbers.size() == kMaxTrackedNumbers &&
                         report.number < *source.numbers.begin();
  if (forgotten || !source.numbers.insert(report.number).second) {
    return false;
  }
  if (source.numbers.size() > kMaxTrackedNumbers) {
    source.numbers.erase(source.numbers.begin());
  }
  return true;
}

ExpertLoads PopularityEstimator::Estimate() const {
  ExpertLoads sum(options_.layers, options_.experts);
  for (const auto& [rank, source] : sources_) {
    if (source.seconds > 0) {
      AddScaled(sum, source.tokens, 1 / source.seconds);
    }
  }
  return sum;
}

std::size_t PopularityEstimator::BucketOf(TimePoint time) const {
  const Duration since = time.time_since_epoch() + options_.day_offset;
  const auto of_day = since.count() % kDay.count();
  return static_cast<std::size_t>(of_day * options_.buckets / kDay.count());
}

// At the start of each bucket, merges the estimate into the profile of the
// bucket that has just ended.
void PopularityEstimator::UpdateProfile(TimePoint now) {
  const std::size_t bucket = BucketOf(now);
  if (!started_) {
    started_ = true;
    learned_bucket_ = bucket;
    return;
  }
  if (bucket == learned_bucket_) {
    return;
  }
  const ExpertLoads shares = SharesOf(Estimate());
  EvaluateProfile(shares, learned_bucket_);
  ExpertLoads& profile = profile_[learned_bucket_];
  const double weight =
      profile_known_[learned_bucket_] ? options_.day_weight : 1;
  Scale(profile, 1 - weight);
  AddScaled(profile, shares, weight);
  profile_known_[learned_bucket_] = true;
  last_shares_ = shares;
  learned_bucket_ = bucket;
}

// Popularity may not depend on the time of day. The profile of other days is
// then misleading, and its prediction error exceeds the baseline of no change.
void PopularityEstimator::EvaluateProfile(const ExpertLoads& shares,
                                          std::size_t bucket) {
  const std::size_t before = (bucket + options_.buckets - 1) % options_.buckets;
  const bool has_reference = !last_shares_.values().empty() &&
                             profile_known_[bucket] && profile_known_[before];
  if (!has_reference) {
    return;
  }
  const ExpertLoads predicted = ApplyProfileChange(
      last_shares_, profile_[before].values(), profile_[bucket].values(), 1);
  double profile_error = 0;
  double baseline_error = 0;
  for (std::size_t i = 0; i < shares.values().size(); ++i) {
    const double actual = shares.values()[i];
    profile_error += std::abs(predicted.values()[i] - actual);
    baseline_error += std::abs(last_shares_.values()[i] - actual);
  }
  profile_error_ = kErrorDecay * profile_error_ + profile_error;
  baseline_error_ = kErrorDecay * baseline_error_ + baseline_error;
}

double PopularityEstimator::profile_confidence() const {
  if (baseline_error_ <= 0) {
    return 0;
  }
  return std::clamp(2 * (1 - profile_error_ / baseline_error_), 0.0, 1.0);
}

Duration PopularityEstimator::Lag() const {
  const double seconds = ToSeconds(options_.half_life) / std::log(2.0);
  return Microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

// A bucket holds the estimate at its end.
std::vector<double> PopularityEstimator::ProfileAt(TimePoint time) const {
  const Duration length = kDay / options_.buckets;
  const std::size_t after = BucketOf(time);
  const std::size_t before = BucketOf(time - length);
  if (!profile_known_[before] || !profile_known_[after]) {
    return {};
  }
  const Duration into =
      (time.time_since_epoch() + options_.day_offset) % length;
  const double share = ToSeconds(into) / ToSeconds(length);
  std::vector<double> profile = profile_[before].values();
  for (std::size_t i = 0; i < profile.size(); ++i) {
    profile[i] += share * (profile_[after].values()[i] - profile[i]);
  }
  return profile;
}

// The estimate and the profile lag behind the loads by the same time, so the
// profile one lag after `at` stands for the loads at `at`. Without this offset,
// a predicted change would be applied too late.
ExpertLoads PopularityEstimator::Forecast(TimePoint now, TimePoint at) const {
  const std::vector<double> profile_now = ProfileAt(now);
  const std::vector<double> profile_then = ProfileAt(at + Lag());
  ExpertLoads loads = Estimate();
  if (profile_now.empty() || profile_then.empty()) {
    return loads;
  }
  return ApplyProfileChange(std::move(loads), profile_now, profile_then,
                            profile_confidence());
}

ExpertLoads PopularityEstimator::ForecastOver(TimePoint now,
                                              Duration horizon) const {
  ExpertLoads mean(options_.layers, options_.experts);
  for (int i = 0; i < kForecastPoints; ++i) {
    const TimePoint at = now + horizon * i / (kForecastPoints - 1);
    AddScaled(mean, Forecast(now, at), 1.0 / kForecastPoints);
  }
  return mean;
}

}  // namespace bilberryspool::placement
