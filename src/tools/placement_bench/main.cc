// Compares placement strategies on the load model, and measures the time of one
// decision.
//
//   placement_bench [DRIFT ...] [SEEDS [RANKS ...]]

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "tools/placement_bench/simulation.h"

namespace bilberryspool::bench {
namespace {

// Size of the model and number of runs for the timed decision.
constexpr std::uint32_t kLayers = 58;
constexpr std::uint32_t kExperts = 64;
constexpr int kTimedDecisions = 21;

struct NamedStrategy {
  std::string name;
  Strategy strategy;
};

std::vector<NamedStrategy> AllStrategies() {
  using placement::PlacementSettings;
  return {
      {"never", NeverRebalance{}},
      {"repack-30", FullRepack{Seconds(1800)}},
      {"repack-120", FullRepack{Seconds(7200)}},
      {"greedy-10%", GreedyOnThreshold{0.1}},
      {"qasr", PolicyStrategy{PlacementSettings::LatencySensitive(), false}},
      {"qasr-ahead",
       PolicyStrategy{PlacementSettings::LatencySensitive(), true}},
      {"kalapuwa",
       PolicyStrategy{PlacementSettings::DisruptionSensitive(), false}},
      {"kalapuwa-ahead",
       PolicyStrategy{PlacementSettings::DisruptionSensitive(), true}},
  };
}

// The median over the seeds with the minimum and the maximum, as text.
std::string FormatRange(std::vector<double> values, double scale) {
  std::sort(values.begin(), values.end());
  char text[64];
  std::snprintf(text, sizeof text, "%6.1f [%.1f-%.1f]",
                values[values.size() / 2] * scale, values.front() * scale,
                values.back() * scale);
  return text;
}

std::string FormatField(const std::vector<Outcome>& outcomes,
                        double Outcome::*field,
                        double scale) {
  std::vector<double> values;
  values.reserve(outcomes.size());
  for (const Outcome& outcome : outcomes) {
    values.push_back(outcome.*field);
  }
  return FormatRange(std::move(values), scale);
}

// Cost in seconds per day, weighted as in the preset.
double WeightedSeconds(const Outcome& outcome,
                       const placement::PlacementSettings& settings) {
  return settings.skew_weight * outcome.skew_lost_seconds +
         settings.move_weight * outcome.fetch_seconds;
}

void PrintRow(const NamedStrategy& named,
              const std::vector<Outcome>& outcomes) {
  std::vector<double> qasr;
  std::vector<double> kalapuwa;
  for (const Outcome& outcome : outcomes) {
    qasr.push_back(WeightedSeconds(
        outcome, placement::PlacementSettings::LatencySensitive()));
    kalapuwa.push_back(WeightedSeconds(
        outcome, placement::PlacementSettings::DisruptionSensitive()));
  }
  std::printf("%-14s %s %s %s %s %s %s %s %s %s %s\n", named.name.c_str(),
              FormatField(outcomes, &Outcome::skew_p50, 100).c_str(),
              FormatField(outcomes, &Outcome::skew_p95, 100).c_str(),
              FormatField(outcomes, &Outcome::lost_share, 100).c_str(),
              FormatField(outcomes, &Outcome::min_lost, 100).c_str(),
              FormatField(outcomes, &Outcome::rank_gap_p95, 100).c_str(),
              FormatField(outcomes, &Outcome::moved_gigabytes, 1).c_str(),
              FormatField(outcomes, &Outcome::move_lost_seconds, 1).c_str(),
              FormatField(outcomes, &Outcome::switches, 1).c_str(),
              FormatRange(std::move(qasr), 0.001).c_str(),
              FormatRange(std::move(kalapuwa), 0.001).c_str());
}

void Compare(Drift drift, std::uint32_t ranks, std::uint64_t seeds) {
  std::printf(
      "\n%s, %u ranks, 64 experts, 8 layers, %llu seeds: middle [least-most]\n"
      "columns: skew p50 %%, p95 %%, step time lost %%, its lower bound %%, "
      "rank gap p95 %%, GB moved/day, s waited/day, switches/day, "
      "weighed ks/day: qasr, kalapuwa\n",
      NameOf(drift), ranks, static_cast<unsigned long long>(seeds));
  for (const NamedStrategy& named : AllStrategies()) {
    std::vector<Outcome> outcomes;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
      SimulationOptions options;
      options.drift = drift;
      options.ranks = ranks;
      options.seed = seed;
      outcomes.push_back(Simulate(named.strategy, options));
    }
    PrintRow(named, outcomes);
    std::fflush(stdout);
  }
}

// Measures one decision with the layers and experts of the largest model, from
// a map that has to be improved.
void TimeDecision(std::uint32_t ranks) {
  LoadModel model(Drift::kDaily, kLayers, kExperts, 1);
  placement::PlacementInput input;
  const std::uint32_t slots = (kExperts + ranks - 1) / ranks + 1;
  input.map = placement::ExpertMap::RoundRobin(kLayers, kExperts, ranks, slots);
  input.loads = model.Advance(Seconds(0), Seconds(60));
  input.ranks.assign(ranks, placement::RankCapacity{1, slots, true});
  input.last_change = TimeAt(-Seconds(3600));
  std::vector<double> times;
  for (int i = 0; i < kTimedDecisions; ++i) {
    const auto start = std::chrono::steady_clock::now();
    const placement::Decision decision = placement::DecidePlacement(
        input, placement::PlacementSettings::LatencySensitive(),
        TimeAt(Seconds(0)));
    const auto stop = std::chrono::steady_clock::now();
    if (decision.index() == 1) {
      times.push_back(
          std::chrono::duration<double, std::milli>(stop - start).count());
    }
  }
  if (!times.empty()) {
    std::printf("one decision, %u ranks, 64 experts, 58 layers: %s ms\n", ranks,
                FormatRange(std::move(times), 1).c_str());
  }
}

struct Arguments {
  std::vector<Drift> drifts;
  std::uint64_t seeds = 5;
  std::vector<std::uint32_t> ranks;
};

constexpr Drift kDrifts[] = {Drift::kDaily, Drift::kProgrammes, Drift::kJumps,
                             Drift::kWander};

Arguments Parse(int argc, char** argv) {
  Arguments arguments;
  bool seeds_known = false;
  for (int i = 1; i < argc; ++i) {
    const std::string argument = argv[i];
    const unsigned long number = std::strtoul(argv[i], nullptr, 10);
    for (const Drift drift : kDrifts) {
      if (argument == NameOf(drift)) {
        arguments.drifts.push_back(drift);
      }
    }
    if (number == 0) {
      continue;
    }
    if (!seeds_known) {
      seeds_known = true;
      arguments.seeds = number;
      continue;
    }
    arguments.ranks.push_back(
        static_cast<std::uint32_t>(std::clamp(number, 4UL, 128UL)));
  }
  if (arguments.drifts.empty()) {
    arguments.drifts.assign(std::begin(kDrifts), std::end(kDrifts));
  }
  if (arguments.ranks.empty()) {
    arguments.ranks = {8, 32, 128};
  }
  return arguments;
}

int Main(int argc, char** argv) {
  const Arguments arguments = Parse(argc, argv);
  for (const std::uint32_t ranks : arguments.ranks) {
    TimeDecision(ranks);
  }
  for (const Drift drift : arguments.drifts) {
    for (const std::uint32_t ranks : arguments.ranks) {
      Compare(drift, ranks, arguments.seeds);
    }
  }
  return 0;
}

}  // namespace
}  // namespace bilberryspool::bench

int main(int argc, char** argv) {
  return bilberryspool::bench::Main(argc, argv);
}
