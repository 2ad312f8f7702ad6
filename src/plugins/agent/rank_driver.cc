#include "plugins/agent/rank_driver.h"

#include <algorithm>

#include "libs/groups/message_codec.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::agent {

namespace json = boost::json;
using net::SteadyNow;

namespace {

// Messages are repeated, so a late answer is of no use.
constexpr Duration kCallTimeout = Milliseconds(300);
constexpr Duration kMaxPause = Milliseconds(20);

}  // namespace

RankDriver::RankDriver(net::NetworkLoop& loop,
                       links::LinkClient& client,
                       RankDriverOptions options,
                       Incarnation incarnation,
                       OnServing on_serving)
    : loop_(loop),
      client_(client),
      options_(std::move(options)),
      incarnation_(incarnation),
      on_serving_(std::move(on_serving)),
      log_("rank"),
      probe_(loop, options_.engine, [this](groups::ExpertCounts counts) {
        SendCounts(std::move(counts));
      }) {}

void RankDriver::Register(links::LinkServer& server) {
  server.Register("group.contacts",
                  [this](const Json& params) { return OnContacts(params); });
  server.Register("group.order",
                  [this](const Json& params) { return OnOrder(params); });
  server.Register("group.rank_message",
                  [this](const Json& params) { return OnRankMessage(params); });
}

void RankDriver::Start() {
  Restart();
  loop_.Spawn([this] { Run(); });
  probe_.Start();
}

void RankDriver::Run() {
  while (true) {
    const TimePoint now = SteadyNow();
    const TimePoint due = machine_->next_deadline().value_or(now);
    loop_.SleepFor(std::clamp(due - now, Milliseconds(1), kMaxPause));
    Handle(groups::RankTick{});
  }
}

void RankDriver::Restart() {
  if (engine_ != nullptr) {
    engine_->Close();
    incarnation_ = incarnation_.Next();
  }
  engine_ = std::make_shared<EngineOrders>(
      loop_, options_.engine, incarnation_,
      [this](const groups::RankEvent& event) { Handle(event); },
      [this](const std::string& why) {
        log_.Warn("Engine lost.", {{"why", why}});
        Restart();
      });
  groups::RankOptions options;
  options.group = options_.group;
  options.rank = options_.rank;
  options.incarnation = incarnation_;
  machine_.emplace(options);
  on_serving_(false);
  ExecuteAll(machine_->Start(SteadyNow()));
}

void RankDriver::Handle(const groups::RankEvent& event) {
  ExecuteAll(machine_->Handle(event, SteadyNow()));
}

// The actions do not call back into the machine directly: results arrive from
// other fibers.
void RankDriver::ExecuteAll(const std::vector<groups::RankAction>& actions) {
  for (const groups::RankAction& action : actions) {
    std::visit([this](const auto& each) { Execute(each); }, action);
  }
}

void RankDriver::Execute(const groups::ResetEngine&) {
  engine_->Reset();
}

void RankDriver::Execute(const groups::FetchWeights& action) {
  engine_->Fetch(action.key);
}

void RankDriver::Execute(const groups::DropWeights& action) {
  engine_->Drop(action.keys);
}

void RankDriver::Execute(const groups::StartStep& action) {
  engine_->Start(action);
}

void RankDriver::Execute(const groups::AbortStep& action) {
  engine_->Abort(action.step);
}

void RankDriver::Execute(const groups::SendStatus& action) {
  Send(contacts_.controller, "group.status",
       json::object{{"target", options_.target.value()},
                    {"status", groups::ToJson(action.status)}});
}

void RankDriver::Execute(const groups::SendToRank& action) {
  const auto found = contacts_.ranks.find(action.rank);
  if (found != contacts_.ranks.end()) {
    Send(found->second, "group.rank_message", groups::ToJson(action.message));
  }
}

void RankDriver::Execute(const groups::RankStateChanged& action) {
  log_.Info("Rank state.",
            {{"why", action.why}, {"incarnation", incarnation_.value()}});
  on_serving_(action.state == groups::GroupState::kServing ||
              action.state == groups::GroupState::kChanging);
}

void RankDriver::SendCounts(groups::ExpertCounts counts) {
  counts.group = options_.group;
  counts.rank = options_.rank;
  counts.incarnation = incarnation_;
  counts.number = ++counts_sent_;
  Send(contacts_.controller, "group.counts", groups::ToJson(counts));
}

void RankDriver::Send(const std::string& address,
                      const std::string& method,
                      const Json& params) {
  const auto endpoint = net::ParseEndpoint(address);
  if (!endpoint.has_value()) {
    return;
  }
  loop_.Spawn([this, endpoint, method, params] {
    const auto result = client_.Call(*endpoint, method, params, kCallTimeout);
    if (std::holds_alternative<links::LinkError>(result)) {
      // The idle connections to a peer that does not answer may be dead, so
      // they are not reused.
      client_.DropIdle(*endpoint);
    }
  });
}

// A controller that was frozen still sends its old contacts when it resumes;
// its lower token shows this.
std::optional<json::value> RankDriver::OnContacts(const Json& params) {
  auto contacts = groups::GroupContactsFromJson(params);
  if (!contacts.has_value()) {
    return std::nullopt;
  }
  const bool is_accepted = contacts->group == options_.group &&
                           contacts->token >= contacts_.token &&
                           contacts->token >= machine_->token();
  if (is_accepted) {
    contacts_ = std::move(*contacts);
  }
  return json::value(is_accepted);
}

std::optional<json::value> RankDriver::OnOrder(const Json& params) {
  const auto order = groups::OrderFromJson(params);
  if (!order.has_value()) {
    return std::nullopt;
  }
  Handle(groups::OrderReceived{*order});
  return json::value(true);
}

std::optional<json::value> RankDriver::OnRankMessage(const Json& params) {
  const auto message = groups::RankMessageFromJson(params);
  if (!message.has_value()) {
    return std::nullopt;
  }
  Handle(groups::RankMessageReceived{*message});
  return json::value(true);
}

}  // namespace bilberryspool::agent
