// routing_bench: measures routing policies and admission in a seeded simulation
// of a deployment.
//
//   routing_bench --deployment=qasr --trouble=slow --load=0.7 --seeds=5
//
// Each run has three phases: 0.7 of the capacity, then --load with --trouble,
// then 0.7 again. Prints one line per policy and service: the median over the
// seeds, for some columns with the minimum and the maximum.

#include <gflags/gflags.h>

#include <cstdio>
#include <iostream>
#include <map>
#include <string>
#include <vector>

#include "tools/routing_bench/choice_cost.h"
#include "tools/routing_bench/results.h"
#include "tools/routing_bench/simulation.h"

DEFINE_string(deployment, "qasr", "qasr or kalapuwa");
DEFINE_string(policy, "all", "random, reported, two, chosen, unlimited or all");
DEFINE_string(trouble, "none", "none, drift, slow, failing, domain or frozen");
DEFINE_double(load, 0.7, "load of the second phase, in times the capacity");
DEFINE_int32(seeds, 5, "number of seeds");
DEFINE_double(honour, 0.7, "share of callers that keep to Retry-After");
DEFINE_double(wait, 1.0, "longest wait in the queue, seconds");
DEFINE_double(headroom, 1.0, "RouterOptions::headroom");
DEFINE_double(overfill, 1.2, "RouterOptions::overfill");
DEFINE_int32(scale, 1, "times the runners and entries of the deployment");
DEFINE_bool(cost, false, "only measure the processor time of one choice");
DEFINE_bool(trace, false, "print the state of the fleet");
DEFINE_double(near_equal, 0.1, "chosen policy: scores that count as equal");
DEFINE_uint32(own_sample, 3, "chosen policy: drawn in the own domain");
DEFINE_uint32(other_sample, 2, "chosen policy: drawn elsewhere");
DEFINE_double(spill, 0.3, "chosen policy: penalty for another domain");
DEFINE_double(affinity, 0.25, "chosen policy: bonus for a cached prefix");
DEFINE_double(half_life, 2.0, "half-life of the trust in a report, seconds");

namespace bilberryspool::routing_bench {
namespace {

struct Variant {
  std::string name;
  routing::RoutingPolicy policy;
  bool limited = true;
};

std::vector<Variant> Variants() {
  routing::ChosenPolicy chosen;
  chosen.near_equal = FLAGS_near_equal;
  chosen.own_sample = FLAGS_own_sample;
  chosen.other_sample = FLAGS_other_sample;
  chosen.spill_penalty = FLAGS_spill;
  chosen.affinity_bonus = FLAGS_affinity;
  return {{"unlimited", routing::RandomPolicy{}, false},
          {"random", routing::RandomPolicy{}},
          {"reported", routing::LeastReportedPolicy{}},
          {"two", routing::TwoChoicesPolicy{}},
          {"chosen", chosen}};
}

const std::map<std::string, Trouble>& Troubles() {
  static const std::map<std::string, Trouble> troubles = {
      {"none", Trouble::kNone},         {"drift", Trouble::kDrift},
      {"slow", Trouble::kSlowTarget},   {"failing", Trouble::kFailingTarget},
      {"domain", Trouble::kLostDomain}, {"frozen", Trouble::kFrozenEntry}};
  return troubles;
}

RunOptions MakeRun(const Variant& variant, std::uint64_t seed) {
  RunOptions options;
  options.deployment = FLAGS_deployment == "kalapuwa" ? Kalapuwa() : Qasr();
  options.deployment.entries *= static_cast<std::size_t>(FLAGS_scale);
  for (ServiceModel& service : options.deployment.services) {
    service.target_count *= static_cast<std::uint32_t>(FLAGS_scale);
  }
  options.entry.router.policy = variant.policy;
  options.entry.router.report_half_life =
      Duration(static_cast<Duration::rep>(FLAGS_half_life * 1e6));
  options.entry.router.headroom = FLAGS_headroom;
  options.entry.router.overfill = FLAGS_overfill;
  options.entry.admission.max_queue_wait =
      Duration(static_cast<Duration::rep>(FLAGS_wait * 1e6));
  options.entry.limited = variant.limited;
  options.phases = {Phase{Seconds(40), 0.7}, Phase{Seconds(40), FLAGS_load},
                    Phase{Seconds(60), 0.7}};
  options.trouble = Troubles().at(FLAGS_trouble);
  options.honour_share = FLAGS_honour;
  options.seed = seed;
  options.trace = FLAGS_trace;
  return options;
}

// A column of the table; `value_of` reads its value from one seed's results.
struct Column {
  const char* title;
  double (*value_of)(const PhaseResults&);
  bool with_range;
};

const Column kColumns[] = {
    {"ft50", [](const PhaseResults& r) { return r.first_token.p50; }, false},
    {"ft95", [](const PhaseResults& r) { return r.first_token.p95; }, true},
    {"ft99", [](const PhaseResults& r) { return r.first_token.p99; }, false},
    {"quiet95",
     [](const PhaseResults& r) { return r.last_try_first_token.p95; }, false},
    {"tot50", [](const PhaseResults& r) { return r.total.p50; }, false},
    {"tot95", [](const PhaseResults& r) { return r.total.p95; }, false},
    {"tot99", [](const PhaseResults& r) { return r.total.p99; }, false},
    {"answered", [](const PhaseResults& r) { return r.answered_share; }, true},
    {"goodput", [](const PhaseResults& r) { return r.goodput; }, true},
    {"refused", [](const PhaseResults& r) { return r.refusals_per_call; },
     false},
    {"tries", [](const PhaseResults& r) { return r.tries_per_call; }, false},
    {"jain", [](const PhaseResults& r) { return r.fairness; }, true}};

void PrintTitles() {
  std::printf("%-11s", "policy");
  for (const Column& column : kColumns) {
    std::printf(column.with_range ? " %20s" : " %7s", column.title);
  }
  std::printf(" recover s\n");
}

void PrintFigure(const SeedSummary& summary, bool with_range) {
  std::printf(" %7.3f", summary.median);
  if (with_range) {
    std::printf("[%.3f,%.3f]", summary.min, summary.max);
  }
}

// Results of one service over all seeds.
struct ServiceFigures {
  std::vector<PhaseResults> results;
  std::vector<double> recoveries;
  std::size_t unrecovered = 0;
};

void Print(const std::string& name, const ServiceFigures& figures) {
  std::printf("%-11s", name.c_str());
  for (const Column& column : kColumns) {
    std::vector<double> values;
    values.reserve(figures.results.size());
    for (const PhaseResults& result : figures.results) {
      values.push_back(column.value_of(result));
    }
    PrintFigure(SummarizeSeeds(std::move(values)), column.with_range);
  }
  const SeedSummary recovery = SummarizeSeeds(figures.recoveries);
  std::printf(" %.0f[%.0f,%.0f] never %zu\n", recovery.median, recovery.min,
              recovery.max, figures.unrecovered);
}

void Measure(const Variant& variant) {
  std::vector<ServiceFigures> services;
  for (int seed = 1; seed <= FLAGS_seeds; ++seed) {
    Simulation run(MakeRun(variant, static_cast<std::uint64_t>(seed)));
    run.Run();
    services.resize(run.options().deployment.services.size());
    for (std::size_t i = 0; i < services.size(); ++i) {
      services[i].results.push_back(SummarizePhase(run, 1, i));
      const auto recovery = SecondsToRecover(run, i);
      if (recovery.has_value()) {
        services[i].recoveries.push_back(*recovery);
      } else {
        ++services[i].unrecovered;
      }
    }
  }
  for (std::size_t i = 0; i < services.size(); ++i) {
    Print(variant.name + " " + std::to_string(i), services[i]);
  }
}

int Main() {
  if (!Troubles().contains(FLAGS_trouble)) {
    std::cerr << "unknown trouble: " << FLAGS_trouble << "\n";
    return 1;
  }
  if (FLAGS_cost) {
    PrintChoiceCosts();
    return 0;
  }
  std::printf("%s, trouble %s, load %.2f, %d seeds, scale %d\n",
              FLAGS_deployment.c_str(), FLAGS_trouble.c_str(), FLAGS_load,
              FLAGS_seeds, FLAGS_scale);
  PrintTitles();
  for (const Variant& variant : Variants()) {
    if (FLAGS_policy == "all" || FLAGS_policy == variant.name) {
      Measure(variant);
    }
  }
  return 0;
}

}  // namespace
}  // namespace bilberryspool::routing_bench

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bilberryspool::routing_bench::Main();
}
