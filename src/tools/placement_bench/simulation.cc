#include "tools/placement_bench/simulation.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "libs/placement/map_repair.h"
#include "libs/placement/popularity_estimator.h"
#include "libs/placement/speed_estimator.h"

namespace bilberryspool::bench {
namespace {

using placement::ExpertKey;
using placement::ExpertLoads;
using placement::ExpertMap;
using placement::LayerIndex;
using placement::RankCapacity;

constexpr Duration kTick = Seconds(60);
constexpr Duration kDecisionInterval = Seconds(300);
constexpr double kExpertGigabytes = 0.05;
constexpr double kSecondsPerFetch = 0.05;
// Fraction by which steps take longer while weights are fetched.
constexpr double kFetchSlowdown = 0.03;
constexpr double kSwitchSeconds = 0.01;
constexpr double kReportLossProbability = 0.1;
constexpr double kReportDuplicationProbability = 0.05;
constexpr double kSlowSpeed = 0.7;

bool IsWithinHours(Duration time,
                   std::int64_t from_hour,
                   std::int64_t until_hour) {
  return time >= Seconds(3600 * from_hour) && time < Seconds(3600 * until_hour);
}

double Percentile(std::vector<double> values, double share) {
  const auto position = static_cast<std::ptrdiff_t>(
      share * static_cast<double>(values.size() - 1));
  std::nth_element(values.begin(), values.begin() + position, values.end());
  return values[static_cast<std::size_t>(position)];
}

// Number of copies that are in `after` but not in `before`.
std::uint32_t FetchesBetween(const ExpertMap& before, const ExpertMap& after) {
  std::uint32_t fetches = 0;
  for (std::uint32_t layer = 0; layer < after.layers(); ++layer) {
    for (std::uint32_t expert = 0; expert < after.experts(); ++expert) {
      const ExpertKey key{LayerIndex(layer), ExpertIndex(expert)};
      for (const RankIndex rank : after.holders(key)) {
        fetches += before.Holds(rank, key) ? 0 : 1;
      }
    }
  }
  return fetches;
}

class Simulation {
 public:
  Simulation(const Strategy& strategy, const SimulationOptions& options)
      : strategy_(strategy),
        options_(options),
        random_(options.seed + 1000),
        model_(options.drift, options.layers, options.experts, options.seed),
        slots_((options.experts + options.ranks - 1) / options.ranks + 1),
        chosen_map_(ExpertMap::RoundRobin(options.layers,
                                          options.experts,
                                          options.ranks,
                                          slots_)),
        map_(chosen_map_),
        estimator_(MakeEstimatorOptions(options)),
        speeds_(MakeSpeedOptions(options)) {}

  Outcome Run() {
    const Duration end = Seconds(86400) * options_.days;
    for (Duration time{}; time < end; time += kTick) {
      Step(time);
    }
    return Summary();
  }

 private:
  struct PendingMap {
    ExpertMap map;
    TimePoint ready;
  };

  static placement::EstimatorOptions MakeEstimatorOptions(
      const SimulationOptions& options) {
    placement::EstimatorOptions result;
    result.layers = options.layers;
    result.experts = options.experts;
    result.half_life = options.half_life;
    return result;
  }

  static placement::SpeedOptions MakeSpeedOptions(
      const SimulationOptions& options) {
    placement::SpeedOptions result;
    result.ranks = options.ranks;
    return result;
  }

  void Step(Duration time) {
    now_ = TimeAt(time);
    const ExpertLoads& loads = model_.Advance(time, kTick);
    UpdateLostRank(time);
    if (pending_map_ && now_ >= pending_map_->ready) {
      map_ = std::move(pending_map_->map);
      pending_map_.reset();
      ++switches_;
    }
    Measure(time, loads);
    DeliverReport(loads);
    if (time % kDecisionInterval == Duration::zero() &&
        time >= kDecisionInterval) {
      Decide(time);
    }
  }

  // One rank is lost for two hours of the third day.
  void UpdateLostRank(Duration time) {
    const bool lost = IsWithinHours(time, 50, 52);
    if (lost == lost_) {
      return;
    }
    lost_ = lost;
    pending_map_.reset();
    Switch(Repaired(chosen_map_));
  }

  ExpertMap Repaired(const ExpertMap& map) const {
    if (!lost_) {
      return map;
    }
    std::vector<RankIndex> live;
    for (std::uint32_t i = 0; i < options_.ranks; ++i) {
      if (i != 2) {
        live.emplace_back(i);
      }
    }
    return placement::RepairOrphans(map.RestrictedTo(live), live, slots_)
        .value_or(map);
  }

  void Switch(ExpertMap map) {
    const std::uint32_t fetches = FetchesBetween(map_, map);
    fetches_ += fetches;
    const auto wait = static_cast<std::int64_t>(fetches * kSecondsPerFetch);
    pending_map_ = PendingMap{std::move(map), now_ + Seconds(wait)};
    last_change_ = now_;
  }

  // The real speeds of the ranks, one of them slow for six hours. A lost rank
  // gets almost no speed; at full speed its lost work would count twice in
  // the skew.
  std::vector<RankCapacity> TrueRanks(Duration time) const {
    std::vector<RankCapacity> ranks(options_.ranks,
                                    RankCapacity{1, slots_, true});
    if (IsWithinHours(time, 30, 36)) {
      ranks[1].speed = kSlowSpeed;
    }
    if (lost_) {
      ranks[2] = {1e-6, 0, false};
    }
    return ranks;
  }

  void Measure(Duration time, const ExpertLoads& loads) {
    const std::vector<RankCapacity> ranks = TrueRanks(time);
    const ExpertMap& map = lost_ ? Repaired(map_) : map_;
    const double skew = placement::SkewOf(map, loads, ranks);
    const double busy = LoadModel::UtilizationAt(time) * ToSeconds(kTick);
    skews_.push_back(skew);
    lost_seconds_ += skew * busy;
    busy_seconds_ += busy;
    if (time % Seconds(1800) == Duration::zero()) {
      min_skews_.push_back(MinSkew(loads, ranks));
    }
    MeasureRanks(map, loads, ranks);
  }

  void MeasureRanks(const ExpertMap& map,
                    const ExpertLoads& loads,
                    const std::vector<RankCapacity>& ranks) {
    const placement::OperatorRules no_rules;
    std::vector<double> busy(ranks.size());
    for (std::uint32_t i = 0; i < map.layers(); ++i) {
      const placement::LayerSearch layer(map, loads, ranks, no_rules,
                                         LayerIndex(i));
      for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
        busy[rank] += layer.rank_times()[rank];
      }
    }
    std::vector<double> live;
    for (std::uint32_t i = 0; i < ranks.size(); ++i) {
      if (!ranks[i].usable) {
        continue;
      }
      live.push_back(busy[i]);
      const double seconds = busy[i] * (0.97 + 0.06 * random_.Fraction());
      speeds_.Observe(RankIndex(i), busy[i] * ranks[i].speed,
                      Microseconds(static_cast<std::int64_t>(seconds * 1e6)),
                      now_);
    }
    const auto [shortest, longest] =
        std::minmax_element(live.begin(), live.end());
    rank_gaps_.push_back((*longest - *shortest) / *longest);
  }

  // Reports of expert counts arrive one or two minutes late; some are lost,
  // some are duplicated.
  void DeliverReport(const ExpertLoads& loads) {
    placement::CountReport report;
    report.incarnation = Incarnation(1);
    report.number = ++reports_;
    report.from = now_ - kTick;
    report.until = now_;
    report.tokens = loads;
    if (!random_.Chance(kReportLossProbability)) {
      delayed_reports_.push_back(report);
    }
    if (random_.Chance(kReportDuplicationProbability)) {
      delayed_reports_.push_back(std::move(report));
    }
    while (delayed_reports_.size() > 2) {
      estimator_.Observe(delayed_reports_.front(), now_);
      delayed_reports_.pop_front();
    }
  }

  void Decide(Duration time) {
    if (pending_map_ || lost_) {
      return;
    }
    const std::vector<RankCapacity> ranks = speeds_.Capacities(slots_, now_);
    const ExpertLoads estimate = estimator_.Estimate();
    const ExpertLoads forecast =
        estimator_.ForecastOver(now_, options_.look_ahead);
    const Situation situation{map_,
                              estimate,
                              forecast,
                              ranks,
                              LoadModel::UtilizationAt(time),
                              kSecondsPerFetch,
                              last_change_,
                              now_};
    std::optional<ExpertMap> next = NextMap(strategy_, situation);
    if (next && *next != map_) {
      chosen_map_ = *next;
      Switch(std::move(*next));
    }
  }

  Outcome Summary() const {
    Outcome outcome;
    const double days = options_.days;
    outcome.skew_p50 = Percentile(skews_, 0.5);
    outcome.skew_p95 = Percentile(skews_, 0.95);
    outcome.rank_gap_p95 = Percentile(rank_gaps_, 0.95);
    outcome.lost_share = lost_seconds_ / busy_seconds_;
    for (const double min_skew : min_skews_) {
      outcome.min_lost += min_skew / static_cast<double>(min_skews_.size());
    }
    outcome.moved_gigabytes = fetches_ * kExpertGigabytes / days;
    outcome.fetch_seconds = fetches_ * kSecondsPerFetch / days;
    outcome.switches = switches_ / days;
    outcome.move_lost_seconds = outcome.fetch_seconds * kFetchSlowdown +
                                outcome.switches * kSwitchSeconds;
    outcome.skew_lost_seconds = lost_seconds_ / days;
    return outcome;
  }

  const Strategy& strategy_;
  SimulationOptions options_;
  Random random_;
  LoadModel model_;
  std::uint32_t slots_;
  ExpertMap chosen_map_;
  ExpertMap map_;
  placement::PopularityEstimator estimator_;
  placement::SpeedEstimator speeds_;
  std::optional<PendingMap> pending_map_;
  TimePoint now_;
  TimePoint last_change_;
  bool lost_ = false;
  std::uint64_t reports_ = 0;
  std::deque<placement::CountReport> delayed_reports_;
  std::vector<double> skews_;
  std::vector<double> rank_gaps_;
  std::vector<double> min_skews_;
  double lost_seconds_ = 0;
  double busy_seconds_ = 0;
  double fetches_ = 0;
  double switches_ = 0;
};

}  // namespace

Outcome Simulate(const Strategy& strategy, const SimulationOptions& options) {
  return Simulation(strategy, options).Run();
}

}  // namespace bilberryspool::bench
