// The part of RequestRunner that calls holders and agents.

#include "libs/attempts/messages_json.h"
#include "libs/net/network_loop.h"
#include "plugins/callers/request_runner.h"

namespace bilberryspool::callers {

namespace json = boost::json;

namespace {

constexpr Duration kHolderTimeout = Milliseconds(400);
constexpr Duration kSettleTimeout = Milliseconds(700);

}  // namespace

void RequestRunner::On(const attempts::SendClaim& action) {
  const auto address = state_.holder_addresses.find(action.holder);
  if (address == state_.holder_addresses.end()) {
    Push(attempts::HolderUnreachable{action.holder, action.request.round});
    return;
  }
  state_.loop.Spawn([self = shared_from_this(), action,
                     endpoint = address->second] {
    const auto result = self->state_.links.Call(
        endpoint, "claims.claim", attempts::ToJson(action.request),
        kHolderTimeout);
    const auto* value = std::get_if<json::value>(&result);
    const auto answer = value != nullptr
                            ? attempts::FromJson<attempts::ClaimAnswer>(*value)
                            : std::nullopt;
    if (answer.has_value()) {
      self->LogAbstention(*answer);
      self->Push(attempts::ClaimAnswered{*answer});
      return;
    }
    const auto* error = std::get_if<links::LinkError>(&result);
    self->state_.log.Warn(
        "A holder did not answer.",
        {{"holder", action.holder.value()},
         {"error", error != nullptr ? error->text : "malformed"}});
    self->state_.links.DropIdle(endpoint);
    self->Push(
        attempts::HolderUnreachable{action.holder, action.request.round});
  });
}

void RequestRunner::LogAbstention(const attempts::ClaimAnswer& answer) {
  const auto* abstained =
      std::get_if<attempts::ClaimAbstained>(&answer.verdict);
  if (abstained == nullptr) {
    return;
  }
  state_.log.Info("A holder has no vote on a claim.",
                  {{"request", context_.key.request.value()},
                   {"holder", answer.holder.value()},
                   {"reason", attempts::ToString(abstained->reason)},
                   {"roster", state_.rosters.version().value()},
                   {"for_ms", abstained->retry_after / Milliseconds(1)}});
}

void RequestRunner::On(const attempts::SendRelease& action) {
  const auto address = state_.holder_addresses.find(action.holder);
  if (address == state_.holder_addresses.end()) {
    return;
  }
  state_.loop.Spawn([self = shared_from_this(), action,
                     endpoint = address->second] {
    const auto result = self->state_.links.Call(
        endpoint, "claims.release", attempts::ToJson(action.release),
        kHolderTimeout);
    const auto* value = std::get_if<json::value>(&result);
    const auto answer =
        value != nullptr ? attempts::FromJson<attempts::ReleaseAnswer>(*value)
                         : std::nullopt;
    if (answer.has_value()) {
      self->Push(attempts::ReleaseAnswered{*answer});
    }
  });
}

void RequestRunner::On(const attempts::SendFinish& action) {
  const auto address = state_.holder_addresses.find(action.holder);
  if (address == state_.holder_addresses.end()) {
    return;
  }
  // Sent only once: a holder that misses it keeps the claim until its window
  // ends. It then refuses more requests than necessary, but none that it must
  // not refuse.
  state_.loop.Spawn([&state = state_, endpoint = address->second,
                     params = attempts::ToJson(action.finish)] {
    state.links.Call(endpoint, "claims.finish", params, kHolderTimeout);
  });
}

void RequestRunner::On(const attempts::SendSettle& action) {
  const TargetId target = action.request.attempt.target;
  const auto endpoint = state_.agents.Find(target);
  const AttemptId id = action.request.attempt.attempt;
  if (!endpoint.has_value()) {
    Push(attempts::SettleUnreachable{id});
    return;
  }
  state_.loop.Spawn([self = shared_from_this(), endpoint, id,
                     request = action.request] {
    // The pooled connections may be those that have become silent.
    self->state_.links.DropIdle(*endpoint);
    const auto result =
        self->state_.links.Call(*endpoint, "attempts.settle",
                                attempts::ToJson(request), kSettleTimeout);
    const auto* value = std::get_if<json::value>(&result);
    const auto answer = value != nullptr
                            ? attempts::FromJson<attempts::SettleAnswer>(*value)
                            : std::nullopt;
    if (answer.has_value()) {
      self->Push(attempts::SettleAnswered{*answer});
      return;
    }
    self->Push(attempts::SettleUnreachable{id});
  });
}

void RequestRunner::On(const attempts::CancelAttempt& action) {
  const auto found = cancellations_.find(action.attempt.attempt);
  if (found != cancellations_.end()) {
    found->second->Cancel();
  }
  ReportAttemptEnd(action.attempt.attempt, routing::AttemptOutcome::kCancelled);
  const auto endpoint = state_.agents.Find(action.attempt.target);
  if (!endpoint.has_value()) {
    return;
  }
  state_.loop.Spawn([&state = state_, endpoint, id = action.attempt.attempt] {
    state.links.Call(*endpoint, "attempts.cancel",
                     json::object{{"attempt", id.value()}}, kSettleTimeout);
  });
}

}  // namespace bilberryspool::callers
