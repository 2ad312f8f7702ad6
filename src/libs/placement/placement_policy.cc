#include "libs/placement/placement_policy.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "libs/placement/layer_packer.h"

namespace bilberryspool::placement {
namespace {

// Values of `tolerance` that are tried, see PackLayer.
constexpr double kTolerances[] = {0.05, 0.2, 0.5};

// Moves of one layer that have the highest net value together.
struct Bundle {
  LayerIndex layer;
  std::vector<Move> moves;
  double time_gained = 0;  // seconds of layer time per second of load
  std::uint32_t fetches = 0;
  bool mandatory = false;
};

struct Totals {
  double time = 0;   // of all layers
  double ideal = 0;  // with perfectly balanced work

  double skew() const { return time > 0 ? 1 - ideal / time : 0; }
};

double IdealTime(const ExpertLoads& loads,
                 const std::vector<RankCapacity>& ranks) {
  double speed = 0;
  for (const RankCapacity& rank : ranks) {
    speed += rank.speed;
  }
  const std::vector<double>& values = loads.values();
  const double total = std::accumulate(values.begin(), values.end(), 0.0);
  return speed > 0 ? total / speed : 0;
}

std::uint32_t FetchesOf(const std::vector<Move>& moves) {
  std::uint32_t fetches = 0;
  for (const Move& move : moves) {
    fetches += move.fetches();
  }
  return fetches;
}

// Net value, in weighted seconds, of a gain in layer time minus the cost of its
// fetches.
class MoveValue {
 public:
  MoveValue(const PlacementInput& input,
            const PlacementSettings& settings,
            double total_time)
      : gain_(settings.skew_weight * ToSeconds(settings.horizon) *
              input.utilization / std::max(total_time, 1e-12)),
        cost_(settings.move_weight * input.seconds_per_fetch *
              (1 + settings.hysteresis)) {
    if (input.at_peak) {
      cost_ *= settings.peak_factor;
    }
    if (input.quiet_window) {
      cost_ *= settings.quiet_factor;
    }
    if (input.forced) {
      cost_ = 0;
    }
  }

  double NetValue(double time_gained, std::uint32_t fetches) const {
    return gain_ * time_gained - cost_ * fetches;
  }

 private:
  double gain_;
  double cost_;
};

// Searches up to `max_moves_per_layer` moves and returns the prefix with the
// highest net value, as a single move may only pay off with the next one.
Bundle BestPrefix(LayerSearch& search,
                  LayerIndex layer,
                  const PlacementSettings& settings,
                  const MoveValue& move_value) {
  Bundle best{layer};
  const double before = search.layer_time();
  std::vector<Move> moves;
  double best_value = 0;
  std::uint32_t fetches = 0;
  for (std::uint32_t i = 0; i < settings.max_moves_per_layer; ++i) {
    std::optional<Move> move = search.Improve();
    if (!move) {
      break;
    }
    fetches += move->fetches();
    const double gained = before - move->layer_time_after;
    moves.push_back(std::move(*move));
    const double net_value = move_value.NetValue(gained, fetches);
    if (net_value > best_value) {
      best_value = net_value;
      best.moves = moves;
      best.time_gained = gained;
      best.fetches = fetches;
    }
  }
  return best;
}

// Repacks the layer with each of kTolerances and returns the best result.
Bundle BestRepack(const PlacementInput& input,
                  LayerIndex layer,
                  double time_before,
                  const MoveValue& move_value) {
  Bundle best{layer};
  double best_value = 0;
  for (const double tolerance : kTolerances) {
    const std::optional<PackedLayer> packed = PackLayer(
        input.map, input.loads, input.ranks, input.rules, layer, tolerance);
    if (!packed) {
      break;
    }
    Move move{ChangesTo(*packed, input.map, layer), packed->layer_time};
    const double gained = time_before - move.layer_time_after;
    const double net_value = move_value.NetValue(gained, move.fetches());
    if (net_value > best_value) {
      best_value = net_value;
      best.fetches = move.fetches();
      best.time_gained = gained;
      best.moves = {std::move(move)};
    }
  }
  return best;
}

std::vector<Bundle> FindBundles(const PlacementInput& input,
                                const PlacementSettings& settings,
                                const MoveValue& move_value) {
  std::vector<Bundle> bundles;
  for (std::uint32_t i = 0; i < input.map.layers(); ++i) {
    const LayerIndex layer(i);
    LayerSearch search(input.map, input.loads, input.ranks, input.rules, layer);
    Bundle mandatory{layer, search.Enforce()};
    if (!mandatory.moves.empty()) {
      mandatory.mandatory = true;
      mandatory.fetches = FetchesOf(mandatory.moves);
      bundles.push_back(std::move(mandatory));
      continue;
    }
    const double before = search.layer_time();
    Bundle bundle = BestPrefix(search, layer, settings, move_value);
    Bundle repack = BestRepack(input, layer, before, move_value);
    if (move_value.NetValue(repack.time_gained, repack.fetches) >
        move_value.NetValue(bundle.time_gained, bundle.fetches)) {
      bundle = std::move(repack);
    }
    if (!bundle.moves.empty()) {
      bundles.push_back(std::move(bundle));
    }
  }
  return bundles;
}

// Sorts mandatory bundles first, then by gain per fetch, ties by layer.
void SortBundles(std::vector<Bundle>& bundles) {
  std::stable_sort(bundles.begin(), bundles.end(),
                   [](const Bundle& one, const Bundle& other) {
                     if (one.mandatory != other.mandatory) {
                       return one.mandatory;
                     }
                     return one.time_gained * other.fetches >
                            other.time_gained * one.fetches;
                   });
}

class PlanBuilder {
 public:
  PlanBuilder(const PlacementInput& input, const PlacementSettings& settings)
      : settings_(settings), rank_fetches_(input.ranks.size()) {
    plan_.map = input.map;
  }

  void TryAdd(const Bundle& bundle) {
    if (fetches_ + bundle.fetches > settings_.max_fetches ||
        !FitsStaging(bundle)) {
      return;
    }
    fetches_ += bundle.fetches;
    mandatory_ = mandatory_ || bundle.mandatory;
    for (const Move& move : bundle.moves) {
      ApplyMove(move);
    }
  }

  bool mandatory() const { return mandatory_; }
  std::uint32_t fetches() const { return fetches_; }
  MovePlan Take() { return std::move(plan_); }
  const ExpertMap& map() const { return plan_.map; }
  bool empty() const { return plan_.moves.empty(); }

 private:
  bool FitsStaging(const Bundle& bundle) const {
    std::vector<std::uint32_t> fetches = rank_fetches_;
    for (const Move& move : bundle.moves) {
      for (const CopyChange& change : move.changes) {
        if (change.adds &&
            ++fetches[change.rank.value()] > settings_.max_fetches_per_rank) {
          return false;
        }
      }
    }
    return true;
  }

  void ApplyMove(const Move& move) {
    for (const CopyChange& change : move.changes) {
      if (!change.adds) {
        plan_.map.Remove(change.key, change.rank);
        continue;
      }
      plan_.map.Add(change.key, change.rank);
      ++rank_fetches_[change.rank.value()];
    }
    plan_.moves.push_back(move);
  }

  const PlacementSettings& settings_;
  std::vector<std::uint32_t> rank_fetches_;
  MovePlan plan_;
  std::uint32_t fetches_ = 0;
  bool mandatory_ = false;
};

Totals TotalsOf(const ExpertMap& map,
                const ExpertLoads& loads,
                const std::vector<RankCapacity>& ranks) {
  const OperatorRules no_rules;
  Totals totals;
  totals.ideal = IdealTime(loads, ranks);
  for (std::uint32_t i = 0; i < map.layers(); ++i) {
    totals.time +=
        LayerSearch(map, loads, ranks, no_rules, LayerIndex(i)).layer_time();
  }
  return totals;
}

}  // namespace

// A high skew weight, as answers are due at a peak and each delay of a step
// makes them late.
PlacementSettings PlacementSettings::LatencySensitive() {
  PlacementSettings settings;
  settings.skew_weight = 4;
  settings.move_weight = 1;
  return settings;
}

PlacementSettings PlacementSettings::DisruptionSensitive() {
  PlacementSettings settings;
  settings.skew_weight = 1;
  settings.move_weight = 20;
  settings.horizon = Seconds(3600);
  settings.min_gain = 0.03;
  return settings;
}

double SkewOf(const ExpertMap& map,
              const ExpertLoads& loads,
              const std::vector<RankCapacity>& ranks) {
  return TotalsOf(map, loads, ranks).skew();
}

Decision DecidePlacement(const PlacementInput& input,
                         const PlacementSettings& settings,
                         TimePoint now) {
  const Totals before = TotalsOf(input.map, input.loads, input.ranks);
  const double skew = before.skew();
  if (input.fetches_in_flight > 0) {
    return NoMove{"moves are in flight", skew};
  }
  if (!input.forced && now - input.last_change < input.min_interval) {
    return NoMove{"the last change was just now", skew};
  }
  const MoveValue move_value(input, settings, before.time);
  std::vector<Bundle> bundles = FindBundles(input, settings, move_value);
  SortBundles(bundles);
  PlanBuilder builder(input, settings);
  for (const Bundle& bundle : bundles) {
    builder.TryAdd(bundle);
  }
  if (builder.empty()) {
    return NoMove{"no move gains more than it costs", skew};
  }
  const Totals after = TotalsOf(builder.map(), input.loads, input.ranks);
  const double saved = 1 - after.time / std::max(before.time, 1e-12);
  const bool is_required = builder.mandatory() || input.forced;
  if (!is_required && saved < settings.min_gain) {
    return NoMove{"the plan saves too little", skew};
  }
  const double fetch_seconds = builder.fetches() * input.seconds_per_fetch;
  MovePlan plan = builder.Take();
  plan.skew_before = skew;
  plan.skew_after = after.skew();
  plan.fetch_seconds = fetch_seconds;
  plan.why =
      is_required ? "an operator asks for it" : "the gain pays for the moves";
  return plan;
}

}  // namespace bilberryspool::placement
