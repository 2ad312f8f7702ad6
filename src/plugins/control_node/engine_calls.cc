#include "plugins/control_node/engine_calls.h"

#include <utility>

#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

// How long a sidecar that did not respond is not called. Short, because groups
// that form again after a network partition would otherwise be polled remotely,
// with a lag.
constexpr Duration kSidecarCooldown = Milliseconds(700);
// Maximum age of the state in an engine's report, unless it was read by a
// sidecar.
constexpr Duration kReportLag = Milliseconds(300);

net::HttpRequest MakeRelayRequest(net::HttpRequest request,
                                  const EngineCalls::CallTimeouts& timeouts) {
  request.headers.Set(sidecar::kTimeoutField,
                      std::to_string(timeouts.engine / Milliseconds(1)));
  if (timeouts.repeat_after > Duration::zero()) {
    request.headers.Set(
        sidecar::kRepeatField,
        std::to_string(timeouts.repeat_after / Microseconds(1)));
  }
  return request;
}

}  // namespace

EngineCalls::EngineCalls(net::NetworkLoop& loop,
                         links::LinkClient& links,
                         std::uint16_t sidecar_port)
    : client_(loop, net::OptionsForReports()),
      links_(links),
      sidecar_port_(sidecar_port),
      log_("groups") {}

bool EngineCalls::IsSidecarUsable(const net::Endpoint& engine,
                                  TimePoint now) const {
  const auto found = sidecar_cooldown_until_.find(engine.address);
  return found == sidecar_cooldown_until_.end() || now >= found->second;
}

EngineCalls::Answer EngineCalls::CallEngine(const net::Endpoint& engine,
                                            const net::HttpRequest& request,
                                            const CallTimeouts& timeouts) {
  if (IsSidecarUsable(engine, SteadyNow())) {
    if (auto answer = TrySidecar(engine, request, timeouts)) {
      return *std::move(answer);
    }
  }
  return CallDirectly(engine, request, timeouts.engine + timeouts.transit);
}

EngineCalls::Answer EngineCalls::CallSidecar(const net::Endpoint& engine,
                                             const net::HttpRequest& request,
                                             const CallTimeouts& timeouts) {
  if (!IsSidecarUsable(engine, SteadyNow())) {
    return {};
  }
  return TrySidecar(engine, request, timeouts).value_or(Answer{});
}

std::optional<EngineCalls::Answer> EngineCalls::TrySidecar(
    const net::Endpoint& engine,
    const net::HttpRequest& request,
    const CallTimeouts& timeouts) {
  const TimePoint asked = SteadyNow();
  const net::Endpoint sidecar{engine.address, sidecar_port_};
  auto result = links_.Send(sidecar, MakeRelayRequest(request, timeouts),
                            timeouts.engine + timeouts.transit);
  if (auto* response = std::get_if<net::HttpResponse>(&result)) {
    sidecar_failed_at_.erase(engine.address);
    // The sidecar works, but its engine did not respond to it and would not
    // respond to this node either.
    const bool has_answered = response->head.status < net::status::kServerError;
    return has_answered
               ? Answer{response->head.status, std::move(response->body), asked}
               : Answer{};
  }
  links_.DropIdle(sidecar);
  const auto& error = std::get<net::HttpError>(result);
  const bool was_refused = error.kind == net::HttpErrorKind::kConnect;
  // Calls that were in flight together fail together if this node was stalled
  // for a moment, so the second failure only counts if its call was sent after
  // the first failure.
  const auto [failed, is_first] =
      sidecar_failed_at_.try_emplace(engine.address, SteadyNow());
  const bool is_late =
      !was_refused && sidecar_timeouts_.Add(engine.address, SteadyNow());
  if (was_refused || (!is_first && asked >= failed->second && !is_late)) {
    sidecar_failed_at_.erase(failed);
    sidecar_cooldown_until_[engine.address] = SteadyNow() + kSidecarCooldown;
    log_.Info("Sidecar lost; calling the engine directly for a while.",
              {{"engine", engine.ToString()}, {"why", error.text}});
  }
  return was_refused ? std::nullopt : std::optional<Answer>(Answer{});
}

bool EngineCalls::IsResponding(const net::Endpoint& engine,
                               const net::HttpRequest& request,
                               const CallTimeouts& timeouts) {
  if (IsSidecarUsable(engine, SteadyNow())) {
    if (auto answer =
            TrySidecar(engine, sidecar::MakeLivenessRequest(), timeouts)) {
      return answer->status != 0;
    }
  }
  return CallDirectly(engine, request, timeouts.engine + timeouts.transit)
             .status != 0;
}

EngineCalls::Answer EngineCalls::CallThroughNode(
    const net::Endpoint& helper,
    const net::Endpoint& engine,
    const net::HttpRequest& request,
    const CallTimeouts& timeouts) {
  net::HttpRequest relayed = MakeRelayRequest(request, timeouts);
  relayed.headers.Set(sidecar::kEngineField, engine.ToString());
  Answer answer =
      CallNode(helper, std::move(relayed), timeouts.engine + timeouts.transit);
  answer.as_of -= kReportLag;
  return answer;
}

EngineCalls::Answer EngineCalls::CallNode(const net::Endpoint& node,
                                          net::HttpRequest request,
                                          Duration timeout) {
  const TimePoint asked = SteadyNow();
  auto result = links_.Send(node, std::move(request), timeout);
  auto* response = std::get_if<net::HttpResponse>(&result);
  if (response == nullptr) {
    links_.DropIdle(node);
    log_.Info("A control node does not answer.",
              {{"node", node.ToString()},
               {"why", std::get<net::HttpError>(result).text}});
    return {};
  }
  return {response->head.status, std::move(response->body), asked};
}

EngineCalls::Answer EngineCalls::CallDirectly(const net::Endpoint& engine,
                                              const net::HttpRequest& request,
                                              Duration timeout) {
  const TimePoint asked = SteadyNow();
  auto result = client_.Send(engine, request, timeout);
  auto* response = std::get_if<net::HttpResponse>(&result);
  if (response == nullptr) {
    client_.DropIdle(engine);
    log_.Info("An engine does not answer.",
              {{"engine", engine.ToString()},
               {"call", request.target},
               {"why", std::get<net::HttpError>(result).text},
               {"waited_ms", (SteadyNow() - asked).count() / 1000}});
    return {};
  }
  return {response->head.status, std::move(response->body), asked - kReportLag};
}

}  // namespace bilberryspool::control_node
