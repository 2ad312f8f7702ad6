#include "plugins/callers/caller_state.h"

#include <algorithm>
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

void CallerState::RecordRefusingTarget(const TargetId& target,
                                       Duration length) {
  TimePoint& until = refusing_until[target];
  until = std::max(until, net::SteadyNow() + length);
}

std::vector<TargetId> CallerState::RefusingTargets() {
  const TimePoint now = net::SteadyNow();
  std::erase_if(refusing_until,
                [now](const auto& row) { return now >= row.second; });
  std::vector<TargetId> targets;
  for (const auto& [target, until] : refusing_until) {
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
