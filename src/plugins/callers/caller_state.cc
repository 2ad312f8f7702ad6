#include "plugins/callers/caller_state.h"

#include <charconv>

#include "libs/net/steady_time.h"
#include "plugins/callers/request_runner.h"

namespace bilberryspool::callers {

namespace {

// As long as the holders' ledgers keep a key.
constexpr Duration kClaimWindow = Seconds(600);

}  // namespace

CallerState::CallerState(
    net::NetworkLoop& network_loop,
    std::shared_ptr<const net::LinkAuthenticator> authenticator,
    NodeId entry,
    FailureDomain domain,
    Incarnation entry_incarnation,
    telemetry::Registry& registry,
    std::uint64_t seed)
    : loop(network_loop),
      self(std::move(entry)),
      own_domain(std::move(domain)),
      incarnation(entry_incarnation),
      metrics(registry),
      log("callers"),
      links(network_loop, std::move(authenticator)),
      agents(links),
      router({}, seed),
      admission(network_loop, {}, seed + 1),
      retries({}),
      rosters(kClaimWindow),
      stall({}, net::SteadyNow()) {}

void CallerState::Beat() {
  if (!stall.Beat(net::SteadyNow())) {
    return;
  }
  log.Warn("The process was stalled.", {{"open", runners.size()}});
  for (RequestRunner* runner : runners) {
    runner->OnStall();
  }
}

void CallerState::RecordLeavingTarget(const TargetId& target) {
  leaving_targets[target] = net::SteadyNow();
}

std::vector<TargetId> CallerState::LeavingTargets() {
  // A restarted target gets work again after this time.
  static constexpr Duration kLeavingCooldown = Seconds(3);
  const TimePoint now = net::SteadyNow();
  std::erase_if(leaving_targets, [now](const auto& row) {
    return now - row.second >= kLeavingCooldown;
  });
  std::vector<TargetId> targets;
  for (const auto& [target, refused_at] : leaving_targets) {
    targets.push_back(target);
  }
  return targets;
}

void CallerState::RecordLoad(const TargetId& target, std::string_view text) {
  routing::LoadReport load;
  std::uint32_t* const fields[] = {&load.running, &load.queued, &load.limit};
  const char* at = text.data();
  const char* const end = text.data() + text.size();
  for (std::uint32_t* field : fields) {
    const auto [next, error] = std::from_chars(at, end, *field);
    if (error != std::errc()) {
      return;
    }
    at = next == end ? next : next + 1;
  }
  router.Handle(routing::LoadReported{target, load}, net::SteadyNow());
}

void CallerState::RecordToken(const TargetId& target, std::string_view text) {
  const TimePoint now = net::SteadyNow();
  agents.RecordToken(target, text, now);
  const auto token = ParseToken(text);
  if (token.has_value() && stall.Observe(target, *token, now)) {
    for (RequestRunner* runner : runners) {
      runner->OnStall();
    }
  }
}

}  // namespace bilberryspool::callers
