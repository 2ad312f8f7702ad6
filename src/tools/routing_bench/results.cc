#include "tools/routing_bench/results.h"

#include <algorithm>
#include <cmath>

namespace bilberryspool::routing_bench {
namespace {

// A service has recovered after this many consecutive good seconds: at least
// this share of the calls answered in time, and a p95 first token of at most
// this multiple of the first phase's.
constexpr std::size_t kRecoverySeconds = 3;
constexpr double kMinRecoveredShare = 0.95;
constexpr double kMaxRecoveredSlowdown = 1.5;

double ValueAt(const std::vector<double>& sorted, double share) {
  if (sorted.empty()) {
    return 0.0;
  }
  const auto index = static_cast<std::size_t>(
      std::lround(share * static_cast<double>(sorted.size() - 1)));
  return sorted[index];
}

Percentiles PercentilesOf(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return Percentiles{ValueAt(values, 0.5), ValueAt(values, 0.95),
                     ValueAt(values, 0.99)};
}

bool IsAnsweredInTime(const Call& call) {
  return call.answered_at.has_value() && *call.answered_at <= call.deadline;
}

// Splits `capacity` max-min fairly: no workspace gets more than its demand, and
// those whose demand isn't met get equal shares.
std::vector<double> MaxMinFair(const std::vector<double>& demand,
                               double capacity) {
  std::vector<double> shares(demand.size(), 0.0);
  std::vector<std::size_t> order(demand.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return demand[a] < demand[b];
  });
  double remaining = capacity;
  for (std::size_t i = 0; i < order.size(); ++i) {
    const double equal_share =
        remaining / static_cast<double>(order.size() - i);
    shares[order[i]] = std::min(demand[order[i]], equal_share);
    remaining -= shares[order[i]];
  }
  return shares;
}

double JainIndex(const std::vector<double>& values) {
  double sum = 0.0;
  double squares = 0.0;
  for (const double value : values) {
    sum += value;
    squares += value * value;
  }
  const double count = static_cast<double>(values.size());
  return squares > 0.0 ? sum * sum / (count * squares) : 1.0;
}

double Fairness(const std::vector<double>& demand,
                const std::vector<double>& served) {
  double capacity = 0.0;
  for (const double part : served) {
    capacity += part;
  }
  const std::vector<double> fair = MaxMinFair(demand, capacity);
  std::vector<double> ratios;
  for (std::size_t i = 0; i < demand.size(); ++i) {
    if (fair[i] > 0.0) {
      ratios.push_back(served[i] / fair[i]);
    }
  }
  return JainIndex(ratios);
}

}  // namespace

PhaseResults SummarizePhase(const Simulation& run,
                            std::size_t phase,
                            std::size_t service) {
  const TimePoint start = run.PhaseStart(phase);
  const TimePoint end = run.PhaseStart(phase + 1);
  const Deployment& deployment = run.options().deployment;
  PhaseResults results;
  std::vector<double> first_tokens;
  std::vector<double> last_try_first_tokens;
  std::vector<double> totals;
  double answered = 0.0;
  std::vector<double> demand(deployment.workspaces, 0.0);
  std::vector<double> served(deployment.workspaces, 0.0);
  double refusals = 0.0;
  double tries = 0.0;
  for (const Call& call : run.calls()) {
    if (call.service != service || call.sent_at < start ||
        call.sent_at >= end) {
      continue;
    }
    ++results.calls;
    refusals += call.refusals;
    tries += call.tries;
    demand[call.workspace] += 1.0;
    if (!IsAnsweredInTime(call)) {
      continue;
    }
    served[call.workspace] += 1.0;
    answered += 1.0;
    if (call.priority == limits::Priority::kBackground ||
        !call.first_token_at.has_value()) {
      continue;
    }
    totals.push_back(ToSeconds(*call.answered_at - call.sent_at));
    first_tokens.push_back(ToSeconds(*call.first_token_at - call.sent_at));
    last_try_first_tokens.push_back(
        ToSeconds(*call.first_token_at - call.last_try_at));
  }
  const double calls =
      std::max<double>(1.0, static_cast<double>(results.calls));
  results.answered_share = answered / calls;
  results.goodput = answered / (deployment.services[service].Capacity() *
                                ToSeconds(end - start));
  results.refusals_per_call = refusals / calls;
  results.tries_per_call = tries / calls;
  results.first_token = PercentilesOf(std::move(first_tokens));
  results.last_try_first_token =
      PercentilesOf(std::move(last_try_first_tokens));
  results.total = PercentilesOf(std::move(totals));
  results.fairness = Fairness(demand, served);
  return results;
}

std::optional<double> SecondsToRecover(const Simulation& run,
                                       std::size_t service) {
  const std::size_t last = run.options().phases.size() - 1;
  const TimePoint start = run.PhaseStart(last);
  const double baseline_p95 = SummarizePhase(run, 0, service).first_token.p95;
  const auto seconds =
      static_cast<std::size_t>(ToSeconds(run.PhaseStart(last + 1) - start));
  std::vector<std::vector<double>> first_tokens(seconds);
  std::vector<double> calls(seconds, 0.0);
  for (const Call& call : run.calls()) {
    if (call.service != service || call.sent_at < start ||
        call.priority == limits::Priority::kBackground) {
      continue;
    }
    const auto second =
        static_cast<std::size_t>(ToSeconds(call.sent_at - start));
    if (second >= seconds) {
      continue;
    }
    calls[second] += 1.0;
    if (IsAnsweredInTime(call) && call.first_token_at.has_value()) {
      first_tokens[second].push_back(
          ToSeconds(*call.first_token_at - call.sent_at));
    }
  }
  std::size_t good = 0;
  for (std::size_t i = 0; i < seconds; ++i) {
    const double answered = static_cast<double>(first_tokens[i].size());
    const double p95 = PercentilesOf(first_tokens[i]).p95;
    const bool is_good = answered >= kMinRecoveredShare * calls[i] &&
                         p95 <= kMaxRecoveredSlowdown * baseline_p95;
    good = is_good ? good + 1 : 0;
    if (good == kRecoverySeconds) {
      return static_cast<double>(i + 1 - kRecoverySeconds);
    }
  }
  return std::nullopt;
}

SeedSummary SummarizeSeeds(std::vector<double> values) {
  if (values.empty()) {
    return SeedSummary{};
  }
  std::sort(values.begin(), values.end());
  return SeedSummary{values[values.size() / 2], values.front(), values.back()};
}

}  // namespace bilberryspool::routing_bench
