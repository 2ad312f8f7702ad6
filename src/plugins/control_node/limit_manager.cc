#include "plugins/control_node/limit_manager.h"

#include <utility>

#include "libs/declared_limits/limit_codec.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::control_node {

namespace {

constexpr std::uint32_t kMaxLogLinesPerSecond = 20;
// Each change is sent to all gateways at once, which takes a small node some
// time.
constexpr Duration kMinUpdateInterval = Milliseconds(250);

}  // namespace

LimitManager::LimitManager(net::FiberSignal& changed)
    : changed_(changed),
      log_("limits"),
      log_budget_(kMaxLogLinesPerSecond),
      registry_(declared_limits::LimitRegistryOptions{}),
      granter_(declared_limits::LimitGranterOptions{}) {}

void LimitManager::Register(links::LinkServer& server) {
  server.Register("limits.grant", [this](const boost::json::value& params) {
    return OnGrant(params);
  });
}

std::optional<boost::json::value> LimitManager::OnGrant(
    const boost::json::value& params) {
  const auto request = declared_limits::GrantRequestFromJson(params);
  if (!request.has_value()) {
    log_.Warn("Failed to parse a gateway's grant request.", {});
    return std::nullopt;
  }
  const TimePoint now = net::SteadyNow();
  const declared_limits::GrantAnswer answer =
      granter_.Ask(*request, registry_, now);
  if (answer.grants.empty() && log_budget_.Take(now)) {
    log_.Info("No target may be sent more.",
              {{"targets", request->targets.size()},
               {"first_choice", request->is_first_choice},
               {"wait_ms", answer.wait / Milliseconds(1)}});
  }
  return declared_limits::ToJson(answer);
}

void LimitManager::Note(
    const std::string& gateway,
    const std::vector<declared_limits::LimitStatement>& statements,
    TimePoint now) {
  bool is_changed = false;
  for (const declared_limits::LimitStatement& statement : statements) {
    if (!registry_.Note(statement, now)) {
      continue;
    }
    is_changed = true;
    if (log_budget_.Take(now)) {
      log_.Info("A target's limit changed.",
                {{"target", statement.run.target.value()},
                 {"per_second", statement.per_second.has_value()
                                    ? std::to_string(*statement.per_second)
                                    : "none"},
                 {"told_by", gateway},
                 {"age_ms", statement.age / Milliseconds(1)}});
    }
  }
  if (is_changed) {
    Publish(now);
  }
}

void LimitManager::SetGateways(std::vector<std::string> gateways,
                               TimePoint now) {
  registry_.SetGateways(std::move(gateways));
  Publish(now);
}

void LimitManager::Tick(TimePoint now) {
  registry_.Tick(now);
  granter_.Tick(now);
  Publish(now);
}

void LimitManager::Publish(TimePoint now) {
  if (registry_.revision() == published_revision_ ||
      now - published_at_ < kMinUpdateInterval) {
    return;
  }
  published_revision_ = registry_.revision();
  published_at_ = now;
  changed_.NotifyAll();
}

}  // namespace bilberryspool::control_node
