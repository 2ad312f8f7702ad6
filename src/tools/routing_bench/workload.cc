#include "tools/routing_bench/workload.h"

#include <algorithm>
#include <cmath>

namespace bilberryspool::routing_bench {
namespace {

constexpr Duration kDriftStep = Seconds(10);
constexpr std::size_t kTemplatesPerWorkspace = 6;
constexpr double kBackgroundShare = 0.2;
constexpr double kHighShare = 0.1;

// Draws a prompt template; those with lower numbers are more popular.
std::size_t DrawTemplate(Random& random) {
  const double skewed = random.Fraction() * random.Fraction();
  return static_cast<std::size_t>(skewed * kTemplatesPerWorkspace);
}

}  // namespace

double ServiceModel::MeanRunSeconds() const {
  return ToSeconds(prefill) + mean_tokens * ToSeconds(per_token);
}

double ServiceModel::Capacity() const {
  return target_count * slots / MeanRunSeconds();
}

Deployment Qasr() {
  Deployment deployment;
  deployment.name = "qasr";
  deployment.services = {
      ServiceModel{ServiceId("drafter"), 16, 8, Milliseconds(400), 120.0,
                   Milliseconds(30), 0.2, Seconds(20)},
      ServiceModel{ServiceId("dispatch"), 3, 8, Milliseconds(40), 1.0,
                   Milliseconds(10), 0.2, Seconds(4)}};
  deployment.domains = {FailureDomain("sahab"), FailureDomain("marka"),
                        FailureDomain("abdali")};
  deployment.domain_delay = Microseconds(300);
  deployment.client_delay = Milliseconds(4);
  return deployment;
}

Deployment Kalapuwa() {
  Deployment deployment;
  deployment.name = "kalapuwa";
  deployment.services = {
      ServiceModel{ServiceId("language-model"), 16, 8, Milliseconds(250), 70.0,
                   Milliseconds(30), 0.1, Seconds(12)},
      ServiceModel{ServiceId("schedule-lookup"), 3, 8, Milliseconds(15), 1.0,
                   Milliseconds(5), 0.0, Seconds(3)}};
  deployment.domains = {FailureDomain("col-a"), FailureDomain("col-b"),
                        FailureDomain("neg-c")};
  deployment.domain_delay = Microseconds(1300);
  deployment.client_delay = Milliseconds(1);
  deployment.entries = 7;
  return deployment;
}

Workload::Workload(const Deployment& deployment,
                   bool drift,
                   double honour_share,
                   std::uint64_t seed)
    : deployment_(deployment),
      drift_(drift),
      honour_share_(honour_share),
      random_(seed) {}

Duration Workload::NextGap(std::size_t service, double load) {
  const double rate = deployment_.services[service].Capacity() * load;
  const double seconds = -std::log(1.0 - random_.Fraction()) / rate;
  return Duration(static_cast<Duration::rep>(seconds * 1e6) + 1);
}

double Workload::ShareOf(std::size_t workspace) const {
  const auto large = static_cast<double>(deployment_.large_workspaces);
  const auto small = static_cast<double>(deployment_.workspaces) - large;
  const double total = large * deployment_.large_factor + small;
  const bool is_large = workspace < deployment_.large_workspaces;
  return (is_large ? deployment_.large_factor : 1.0) / total;
}

std::size_t Workload::DrawWorkspace(std::size_t drift_steps) {
  double drawn = random_.Fraction();
  for (std::size_t i = 0; i < deployment_.workspaces; ++i) {
    drawn -= ShareOf(i);
    if (drawn < 0.0) {
      return (i + drift_steps) % deployment_.workspaces;
    }
  }
  return deployment_.workspaces - 1;
}

Call Workload::Draw(std::size_t service, TimePoint now) {
  const ServiceModel& model = deployment_.services[service];
  const auto drift_steps = static_cast<std::size_t>(
      drift_ ? now.time_since_epoch() / kDriftStep : 0);
  Call call;
  call.service = service;
  call.workspace = DrawWorkspace(drift_steps);
  const double priority = random_.Fraction();
  if (priority < kBackgroundShare) {
    call.priority = limits::Priority::kBackground;
  } else if (priority > 1.0 - kHighShare) {
    call.priority = limits::Priority::kHigh;
  }
  call.idempotent = !random_.Chance(model.non_idempotent_share);
  call.honours_retry_after = random_.Chance(honour_share_);
  const double exponential = -std::log(1.0 - random_.Fraction());
  const double tokens = model.mean_tokens * (0.5 + 0.5 * exponential);
  call.tokens = static_cast<std::uint32_t>(std::max(1.0, tokens));
  const std::size_t drawn = (DrawTemplate(random_) + drift_steps);
  const std::uint64_t base = (service * 1000 + call.workspace) * 1000;
  call.prefixes = {base, base + 1 + drawn % kTemplatesPerWorkspace};
  call.sent_at = now;
  call.deadline = now + model.deadline;
  return call;
}

}  // namespace bilberryspool::routing_bench
