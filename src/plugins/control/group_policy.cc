#include "plugins/control/group_policy.h"

#include <algorithm>
#include <utility>

#include "plugins/control/group_maps.h"

namespace bilberryspool::control {

using placement::ExpertKey;
using placement::LayerIndex;

namespace {

// Counts over a shorter time do not show an expert's popularity reliably.
constexpr Duration kMinObservationTime = Seconds(10);

placement::EstimatorOptions MakeEstimatorOptions(
    const config::GroupSpec& spec) {
  placement::EstimatorOptions options;
  options.layers = spec.layers;
  options.experts = spec.experts;
  return options;
}

placement::OperatorRules RulesOf(const GroupId& group,
                                 const config::Configuration& configuration) {
  const auto key_of = [](const config::ExpertKey& key) {
    return ExpertKey{LayerIndex(key.layer), key.expert};
  };
  placement::OperatorRules rules;
  for (const auto& [key, row] : configuration.table<config::PinSpec>()) {
    if (key.group == group) {
      rules.pinned.insert({key_of(key), row.spec.rank});
    }
  }
  for (const auto& [key, row] : configuration.table<config::ForbidSpec>()) {
    if (key.expert.group == group) {
      rules.forbidden.insert({key_of(key.expert), key.rank});
    }
  }
  for (const auto& [key, row] : configuration.table<config::MoveSpec>()) {
    if (key.group == group) {
      rules.pinned.insert({key_of(key), row.spec.to});
      rules.forbidden.insert({key_of(key), row.spec.from});
    }
  }
  return rules;
}

}  // namespace

GroupPolicy::GroupPolicy(config::GroupSpec spec)
    : spec_(std::move(spec)), popularity_(MakeEstimatorOptions(spec_)) {}

void GroupPolicy::Observe(const groups::ExpertCounts& counts, TimePoint now) {
  const bool matches_model =
      counts.layers == spec_.layers && counts.experts == spec_.experts &&
      counts.tokens.size() ==
          static_cast<std::size_t>(spec_.layers) * spec_.experts;
  if (!matches_model || counts.rank.value() >= spec_.ranks) {
    return;
  }
  placement::CountReport report;
  report.rank = counts.rank;
  report.incarnation = counts.incarnation;
  report.number = counts.number;
  report.from = now - counts.window;
  report.until = now;
  report.tokens = placement::ExpertLoads(counts.layers, counts.experts);
  std::copy(counts.tokens.begin(), counts.tokens.end(),
            report.tokens.values().begin());
  const bool is_new = popularity_.Observe(report, now);
  if (is_new && !observed_since_.has_value()) {
    observed_since_ = now;
  }
}

placement::PlacementInput GroupPolicy::MakeInput(
    const PlacementSituation& situation,
    const config::Configuration& configuration,
    TimePoint now) const {
  placement::PlacementInput input;
  input.map = situation.chosen;
  input.loads =
      popularity_.ForecastOver(now, placement::PlacementSettings().horizon);
  placement::RankCapacity capacity;
  capacity.slots = SlotsOf(spec_);
  input.ranks.assign(spec_.ranks, capacity);
  input.rules = RulesOf(spec_.id, configuration);
  input.seconds_per_fetch = situation.seconds_per_fetch;
  input.last_change = last_change_;
  input.quiet_window = IsQuiet(spec_.quiet_windows, situation.minute_of_day);
  return input;
}

std::optional<placement::ExpertMap> GroupPolicy::Decide(
    const PlacementSituation& situation,
    const config::Configuration& configuration,
    TimePoint now) {
  const bool has_counts = observed_since_.has_value() &&
                          now - *observed_since_ >= kMinObservationTime;
  if (!has_counts) {
    why_ = "no decision: too few expert counts yet";
    return std::nullopt;
  }
  if (!situation.is_settled) {
    why_ = "no decision while a rank is missing or a change is under way";
    return std::nullopt;
  }
  placement::PlacementSettings settings;
  settings.skew_weight = spec_.skew_weight;
  settings.move_weight = spec_.rebalance_weight;
  placement::Decision decision = placement::DecidePlacement(
      MakeInput(situation, configuration, now), settings, now);
  if (const auto* no_move = std::get_if<placement::NoMove>(&decision)) {
    why_ = "no move: " + no_move->why;
    return std::nullopt;
  }
  auto& plan = std::get<placement::MovePlan>(decision);
  why_ = std::to_string(plan.moves.size()) + " moves: " + plan.why;
  last_change_ = now;
  return std::move(plan.map);
}

bool IsQuiet(const std::vector<config::QuietWindow>& windows,
             std::uint32_t minute) {
  return std::any_of(windows.begin(), windows.end(), [&](const auto& window) {
    const bool after_start = minute >= window.start;
    const bool before_end = minute < window.end;
    const bool passes_midnight = window.end < window.start;
    return passes_midnight ? after_start || before_end
                           : after_start && before_end;
  });
}

}  // namespace bilberryspool::control
