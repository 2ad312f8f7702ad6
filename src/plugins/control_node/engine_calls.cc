#include "plugins/control_node/engine_calls.h"

#include <utility>

#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

// A sidecar that did not answer is not asked again for this long. Short, since
// groups that form anew after a cut are else asked from afar, with a lag.
constexpr Duration kSidecarRest = Milliseconds(700);
// An engine's reports describe it as it was up to this long before, unless a
// sidecar asks.
constexpr Duration kReportLag = Milliseconds(300);

net::HttpRequest Relayed(net::HttpRequest request,
                         const EngineCalls::Patience& patience) {
  request.headers.Set(sidecar::kPatienceField,
                      std::to_string(patience.engine / Milliseconds(1)));
  return request;
}

}  // namespace

EngineCalls::EngineCalls(net::NetworkLoop& loop,
                         links::LinkClient& links,
                         std::uint16_t sidecar_port)
    : client_(loop, net::HttpClientOptions{}),
      links_(links),
      sidecar_port_(sidecar_port),
      log_("groups") {}

bool EngineCalls::HasSidecar(const net::Endpoint& engine, TimePoint now) const {
  const auto found = sidecar_rests_.find(engine.address);
  return found == sidecar_rests_.end() || now >= found->second;
}

EngineCalls::Answer EngineCalls::Ask(const net::Endpoint& engine,
                                     const net::HttpRequest& request,
                                     const Patience& patience) {
  if (HasSidecar(engine, SteadyNow())) {
    if (auto answer = TrySidecar(engine, request, patience)) {
      return *std::move(answer);
    }
  }
  return AskDirectly(engine, request, patience.engine + patience.way);
}

EngineCalls::Answer EngineCalls::AskSidecar(const net::Endpoint& engine,
                                            const net::HttpRequest& request,
                                            const Patience& patience) {
  if (!HasSidecar(engine, SteadyNow())) {
    return {};
  }
  return TrySidecar(engine, request, patience).value_or(Answer{});
}

std::optional<EngineCalls::Answer> EngineCalls::TrySidecar(
    const net::Endpoint& engine,
    const net::HttpRequest& request,
    const Patience& patience) {
  const TimePoint asked = SteadyNow();
  const net::Endpoint sidecar{engine.address, sidecar_port_};
  auto result = links_.Send(sidecar, Relayed(request, patience),
                            patience.engine + patience.way);
  if (auto* response = std::get_if<net::HttpResponse>(&result)) {
    sidecar_failed_at_.erase(engine.address);
    // The sidecar is well; its engine did not answer it, nor would it us.
    const bool has_answered = response->head.status < net::status::kServerError;
    return has_answered
               ? Answer{response->head.status, std::move(response->body), asked}
               : Answer{};
  }
  links_.DropIdle(sidecar);
  const auto& error = std::get<net::HttpError>(result);
  const bool was_refused = error.kind == net::HttpErrorKind::kConnect;
  // Calls that were under way together fail together where this node stood
  // still for a moment, so the second failure has to have been asked later.
  const auto [failed, is_first] =
      sidecar_failed_at_.try_emplace(engine.address, SteadyNow());
  if (was_refused || (!is_first && asked >= failed->second)) {
    sidecar_failed_at_.erase(failed);
    sidecar_rests_[engine.address] = SteadyNow() + kSidecarRest;
    log_.Info("Sidecar lost; asking the engine directly for a while.",
              {{"engine", engine.ToString()}, {"why", error.text}});
  }
  return was_refused ? std::nullopt : std::optional<Answer>(Answer{});
}

EngineCalls::Answer EngineCalls::AskThrough(const net::Endpoint& helper,
                                            const net::Endpoint& engine,
                                            const net::HttpRequest& request,
                                            const Patience& patience) {
  net::HttpRequest relayed = Relayed(request, patience);
  relayed.headers.Set(sidecar::kEngineField, engine.ToString());
  Answer answer =
      AskNode(helper, std::move(relayed), patience.engine + patience.way);
  answer.as_of -= kReportLag;
  return answer;
}

EngineCalls::Answer EngineCalls::AskNode(const net::Endpoint& node,
                                         net::HttpRequest request,
                                         Duration patience) {
  const TimePoint asked = SteadyNow();
  auto result = links_.Send(node, std::move(request), patience);
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

EngineCalls::Answer EngineCalls::AskDirectly(const net::Endpoint& engine,
                                             const net::HttpRequest& request,
                                             Duration patience) {
  const TimePoint asked = SteadyNow();
  auto result = client_.Send(engine, request, patience);
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
