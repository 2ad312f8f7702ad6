#include "plugins/gateway/limit_grants.h"

#include "libs/declared_limits/limit_codec.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::gateway {

using net::SteadyNow;

void LimitGrants::AcquireGrant(const ServiceId& service,
                               const std::set<TargetId>& tried) {
  const TimePoint now = SteadyNow();
  const auto limited = targets_.LimitedTargetsOf(service, tried, now);
  if (limited.targets.empty()) {
    return;
  }
  planner_.OnRequest(service, now);
  for (const declared_limits::DeclaredLimit& target : limited.targets) {
    if (targets_.limits().HasGrant(target.run, now)) {
      return;
    }
  }
  const auto wanted = planner_.GrantsToRequest(
      service, /*are_all_limited=*/limited.are_all, now);
  if (!wanted.has_value()) {
    return;
  }
  declared_limits::GrantRequest request;
  request.targets = limited.targets;
  request.wanted = *wanted;
  const auto json = call_granter_(service, request);
  const auto answer = json.has_value()
                          ? declared_limits::GrantAnswerFromJson(*json)
                          : std::nullopt;
  if (!answer.has_value()) {
    targets_.limits().OnGranterUnavailable();
    return;
  }
  const TimePoint answered_at = SteadyNow();
  planner_.OnAnswer(service, answer->grants.empty(), answered_at);
  targets_.limits().OnGranted(request.targets, *answer, answered_at);
}

}  // namespace bilberryspool::gateway
