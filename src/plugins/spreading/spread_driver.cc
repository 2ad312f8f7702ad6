#include "plugins/spreading/spread_driver.h"

#include <algorithm>
#include <boost/json/object.hpp>

#include "libs/base/overloaded.h"
#include "libs/config/codec.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/spread/spread_codec.h"

namespace bilberryspool::spreading {

namespace json = boost::json;
using net::SteadyNow;

namespace {

constexpr Duration kSendTimeout = Milliseconds(500);
constexpr Duration kMaxTickInterval = Milliseconds(100);
constexpr Duration kTopologyInterval = Milliseconds(500);

}  // namespace

SpreadDriver::SpreadDriver(net::NetworkLoop& loop,
                           links::LinkClient& client,
                           spread::SpreaderOptions options,
                           std::uint64_t seed,
                           SpreadHooks hooks)
    : loop_(loop),
      client_(client),
      spreader_(std::move(options), seed),
      hooks_(std::move(hooks)),
      log_("spread") {}

// Decodes a message and records the address of its sender, which is sent with
// it.
template <typename Message>
std::optional<boost::json::value> SpreadDriver::OnMessage(
    const Json& params,
    std::optional<Message> (*parse)(const Json&),
    const std::function<void(Message)>& on_message) {
  const auto* object = params.if_object();
  const auto* address =
      object != nullptr ? object->if_contains("address") : nullptr;
  const auto* body =
      object != nullptr ? object->if_contains("message") : nullptr;
  if (address == nullptr || !address->is_string() || body == nullptr) {
    return std::nullopt;
  }
  auto message = parse(*body);
  const auto endpoint = net::ParseEndpoint(std::string(address->as_string()));
  if (!message.has_value() || !endpoint.has_value()) {
    return std::nullopt;
  }
  senders_[message->sender.node] = *endpoint;
  on_message(std::move(*message));
  return Json(true);
}

void SpreadDriver::Register(links::LinkServer& server) {
  server.Register("spread.delta", [this](const Json& params) {
    return OnMessage<spread::DeltaMessage>(
        params, spread::DeltaMessageFromJson, [this](auto message) {
          Handle(spread::DeltaReceived{std::move(message)});
        });
  });
  server.Register("spread.full", [this](const Json& params) {
    return OnMessage<spread::FullMessage>(
        params, spread::FullMessageFromJson, [this](auto message) {
          Handle(spread::FullReceived{std::move(message)});
        });
  });
  server.Register("spread.have", [this](const Json& params) {
    return OnMessage<spread::HaveMessage>(
        params, spread::HaveMessageFromJson, [this](auto message) {
          Handle(spread::HaveReceived{std::move(message)});
        });
  });
}

void SpreadDriver::Start() {
  loop_.Spawn([this] { Run(); });
}

void SpreadDriver::Run() {
  while (true) {
    if (SteadyNow() - topology_refreshed_at_ >= kTopologyInterval) {
      topology_refreshed_at_ = SteadyNow();
      Handle(hooks_.topology());
    }
    Handle(spread::SpreaderTick{});
    const TimePoint now = SteadyNow();
    const TimePoint due =
        spreader_.next_deadline().value_or(now + kMaxTickInterval);
    loop_.SleepFor(std::clamp(due - now, Milliseconds(1), kMaxTickInterval));
  }
}

void SpreadDriver::Handle(const spread::SpreaderEvent& event) {
  for (const auto& action : spreader_.Handle(event, SteadyNow())) {
    Execute(action);
  }
}

void SpreadDriver::Execute(const spread::SpreaderAction& action) {
  std::visit(
      Overloaded{[this](const spread::SendDelta& send) {
                   Send(send.to, "spread.delta", spread::ToJson(send.message));
                 },
                 [this](const spread::SendFull& send) {
                   spread::FullMessage message = send.message;
                   message.at = applied_point();
                   message.bytes = config::ToBytes(applied_.configuration());
                   Send(send.to, "spread.full", spread::ToJson(message));
                 },
                 [this](const spread::SendHave& send) {
                   Send(send.to, "spread.have", spread::ToJson(send.message));
                 },
                 [this](const spread::ApplySteps& apply) { ApplySteps(apply); },
                 [this](const spread::ApplyFull& apply) { ApplyFull(apply); },
                 [this](const spread::ReportDivergence& divergence) {
                   log_.Error(
                       "Two nodes have different contents for one version.",
                       {{"other", divergence.other.value()},
                        {"version", divergence.here.version.value()}});
                 }},
      action);
}

void SpreadDriver::Send(const NodeId& to,
                        const std::string& method,
                        const Json& params) {
  auto endpoint = hooks_.find_node(to);
  const auto sender = senders_.find(to);
  if (!endpoint.has_value() && sender != senders_.end()) {
    endpoint = sender->second;
  }
  if (!endpoint.has_value()) {
    return;
  }
  Json envelope =
      json::object{{"address", hooks_.own_address}, {"message", params}};
  loop_.Spawn([this, endpoint, method, envelope = std::move(envelope)] {
    const auto result = client_.Call(*endpoint, method, envelope, kSendTimeout);
    if (std::holds_alternative<links::LinkError>(result)) {
      client_.DropIdle(*endpoint);
    }
  });
}

void SpreadDriver::ApplySteps(const spread::ApplySteps& apply) {
  for (const spread::DeltaStep& step : apply.steps) {
    const auto delta = config::DeltaFromBytes(step.bytes);
    if (!delta.has_value()) {
      ReportApplyResult(config::ApplyResult::kDiverged);
      return;
    }
    const config::ApplyResult result = applied_.Apply(*delta);
    const bool is_in_force = result == config::ApplyResult::kApplied ||
                             result == config::ApplyResult::kStale;
    if (!is_in_force) {
      ReportApplyResult(result);
      return;
    }
  }
  ReportApplyResult(config::ApplyResult::kApplied);
}

void SpreadDriver::ApplyFull(const spread::ApplyFull& apply) {
  const auto state = config::ConfigurationFromBytes(apply.bytes);
  ReportApplyResult(state.has_value() ? applied_.Replace(*state)
                                      : config::ApplyResult::kDiverged);
}

void SpreadDriver::ReportApplyResult(config::ApplyResult result) {
  const bool is_in_force = result == config::ApplyResult::kApplied ||
                           result == config::ApplyResult::kStale;
  if (!is_in_force) {
    log_.Warn("Failed to apply a received configuration.",
              {{"result", static_cast<int>(result)}});
    Handle(spread::ApplyFailed{});
    return;
  }
  Handle(spread::Applied{applied_point()});
  hooks_.in_force_changed();
}

spread::ConfigPoint SpreadDriver::applied_point() const {
  return {applied_.version(), applied_.configuration().digest().value()};
}

void SpreadDriver::ApplyCommittedStep(const config::Delta& delta,
                                      config::Digest from_digest) {
  applied_.Apply(delta);
  spread::DeltaStep step;
  step.from = {delta.from, from_digest.value()};
  step.to = {delta.to, delta.digest.value()};
  step.bytes = config::ToBytes(delta);
  Handle(spread::StepAccepted{std::move(step)});
  hooks_.in_force_changed();
}

void SpreadDriver::ApplyCommittedState(const config::Configuration& state) {
  applied_.Replace(state);
  Handle(spread::StateAdopted{applied_point()});
  hooks_.in_force_changed();
}

void SpreadDriver::SetLeading(bool is_leading) {
  Handle(spread::LeadershipChanged{is_leading});
}

}  // namespace bilberryspool::spreading
