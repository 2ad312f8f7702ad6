#include "plugins/gateway/control_follower.h"

#include <algorithm>
#include <utility>

#include "libs/membership/rendezvous.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/traffic/target_codec.h"

namespace bilberryspool::gateway {

using net::SteadyNow;

namespace {

// An answer that takes longer than the node may hold it is lost: the node is
// dead, cut off, or the connection has gone silent.
constexpr Duration kWatchPatience =
    traffic::kMaxWatchDuration + Milliseconds(600);
// While a text is wanted, how often a node is asked anew whether it has it.
// With 39 gateways and 6 nodes that is 780 questions a second while it lasts.
constexpr Duration kFetchPoll = Milliseconds(300);
constexpr Duration kTellPatience = Milliseconds(500);
// A request waits for the answer.
constexpr Duration kAskPatience = Milliseconds(200);
constexpr Duration kPauseAfterFailure = Milliseconds(150);
// Without a word from the leader the newest configuration heard of counts
// after this time, so that a failure domain that is cut off goes on serving.
constexpr Duration kLeaderPatience = Seconds(3);
// A node that no other lists any more and that does not answer is let go.
constexpr Duration kNodeMemory = Seconds(20);

}  // namespace

ControlFollower::ControlFollower(
    net::NetworkLoop& loop,
    std::shared_ptr<const net::LinkAuthenticator> authenticator,
    GatewayState& state,
    std::string name,
    traffic::ConfigurationReader read_configuration)
    : loop_(loop),
      client_(loop, std::move(authenticator)),
      state_(state),
      name_(std::move(name)),
      read_configuration_(std::move(read_configuration)),
      log_("follower"),
      started_at_(SteadyNow()) {}

void ControlFollower::Follow(const std::vector<net::Endpoint>& nodes) {
  for (const net::Endpoint& endpoint : nodes) {
    if (!followed_.insert(endpoint).second) {
      continue;
    }
    log_.Info("Following a control node.", {{"node", endpoint.ToString()}});
    auto node = std::make_shared<Node>();
    node->endpoint = endpoint;
    node->heard_at = SteadyNow();
    loop_.Spawn([this, node] { Run(node); });
  }
}

bool ControlFollower::is_current(TimePoint now) const {
  return state_.routes != nullptr &&
         (has_heard_leader_ || now - started_at_ > kLeaderPatience);
}

void ControlFollower::Run(const std::shared_ptr<Node>& node) {
  while (true) {
    const bool is_reachable = Ask(*node, /*wants_configuration=*/false);
    if (is_reachable) {
      Fetch(*node);
    }
    if (is_reachable != node->is_reachable) {
      node->is_reachable = is_reachable;
      state_.quarantine.SetReachable(node->endpoint.ToString(), is_reachable);
      state_.targets.limits().SetReachable(node->endpoint.ToString(),
                                           is_reachable, SteadyNow());
      log_.Info(is_reachable ? "Control node regained." : "Control node lost.",
                {{"node", node->endpoint.ToString()}});
      if (is_reachable) {
        state_.targets.OnReconnected(SteadyNow());
      }
    }
    if (is_reachable) {
      reachable_.insert(node->endpoint);
      continue;
    }
    reachable_.erase(node->endpoint);
    state_.targets.SetSlow(node->endpoint.ToString(), {});
    const bool is_forgotten = SteadyNow() - node->heard_at > kNodeMemory &&
                              members_.count(node->endpoint) == 0 &&
                              !reachable_.empty();
    if (is_forgotten) {
      log_.Info("Following a control node no more.",
                {{"node", node->endpoint.ToString()}});
      followed_.erase(node->endpoint);
      return;
    }
    loop_.SleepFor(kPauseAfterFailure);
  }
}

std::uint64_t ControlFollower::version_in_force() const {
  return state_.routes == nullptr ? 0 : state_.routes->configuration().version;
}

std::vector<net::Endpoint> ControlFollower::RankReachable(
    std::string_view key,
    std::size_t count) const {
  std::vector<std::string> nodes;
  nodes.reserve(reachable_.size());
  for (const net::Endpoint& endpoint : reachable_) {
    nodes.push_back(endpoint.ToString());
  }
  std::vector<net::Endpoint> ranked;
  for (const std::string& node :
       membership::RankByRendezvous(key, std::move(nodes), count)) {
    if (const auto endpoint = net::ParseEndpoint(node)) {
      ranked.push_back(*endpoint);
    }
  }
  return ranked;
}

bool ControlFollower::is_home(const Node& node) const {
  const auto ranked = RankReachable(name_, 1);
  return !ranked.empty() && ranked.front() == node.endpoint;
}

bool ControlFollower::Tell(const net::Endpoint& node,
                           const std::string& method,
                           const boost::json::value& params) {
  const auto result = client_.Call(node, method, params, kTellPatience);
  const bool is_told = std::holds_alternative<boost::json::value>(result);
  if (!is_told) {
    client_.DropIdle(node);
  }
  return is_told;
}

void ControlFollower::TellAll(const std::string& method,
                              const boost::json::value& params) {
  for (const net::Endpoint& node : reachable_) {
    loop_.Spawn([this, node, method, params] {
      if (Tell(node, method, params) || Tell(node, method, params)) {
        return;
      }
      log_.Warn("A control node can't be told.",
                {{"node", node.ToString()}, {"method", method}});
    });
  }
}

std::optional<boost::json::value> ControlFollower::AskOne(
    const std::string& key,
    const std::string& method,
    const std::function<boost::json::value(std::size_t rank)>& make_params) {
  constexpr std::size_t kMostAsked = 2;
  std::size_t rank = 0;
  for (const net::Endpoint& node : RankReachable(key, kMostAsked)) {
    const auto result =
        client_.Call(node, method, make_params(rank++), kAskPatience);
    if (const auto* answer = std::get_if<boost::json::value>(&result)) {
      return *answer;
    }
    client_.DropIdle(node);
  }
  log_.Warn("No control node answers.", {{"method", method}});
  return std::nullopt;
}

// Each node tells of a new configuration at about the same moment. With the
// text in each answer it would cross the links once for each control node.
void ControlFollower::Fetch(Node& node) {
  if (node.told_version <= version_in_force()) {
    return;
  }
  const traffic::ReportedConfiguration told{node.told_version, node.told_bytes,
                                            state_.gateways, is_home(node)};
  if (fetch_.ShouldStart(told, version_in_force(), SteadyNow()) &&
      !Ask(node, /*wants_configuration=*/true)) {
    fetch_.OnFailed();
  }
}

bool ControlFollower::Ask(Node& node, bool wants_configuration) {
  traffic::WatchQuery query;
  query.requester = name_;
  query.boot = node.boot;
  query.revision = node.revision;
  // What the node has told already is no news again.
  query.version = wants_configuration
                      ? version_in_force()
                      : std::max(version_in_force(), node.told_version);
  query.wants_configuration = wants_configuration;
  query.was_leader = node.is_leader;
  query.slow_revision = node.slow_revision;
  query.quarantine_revision = node.quarantine_revision;
  query.limits_revision = node.limits_revision;
  query.limits = state_.targets.limits().Statements(SteadyNow());
  // While a text is on its way to another fiber, this one looks again soon, in
  // case it does not arrive.
  const bool lacks_text = node.told_version > version_in_force();
  query.wait = wants_configuration ? Duration::zero()
               : lacks_text        ? kFetchPoll
                                   : traffic::kMaxWatchDuration;
  const auto result = client_.Call(node.endpoint, "control.watch",
                                   traffic::ToJson(query), kWatchPatience);
  const auto* json = std::get_if<boost::json::value>(&result);
  if (json == nullptr) {
    client_.DropIdle(node.endpoint);
    return false;
  }
  const auto answer = traffic::WatchAnswerFromJson(*json);
  const auto targets = answer.has_value()
                           ? traffic::UnpackTargets(answer->targets)
                           : std::nullopt;
  if (!targets.has_value()) {
    log_.Warn("Can't read a control node's answer.",
              {{"node", node.endpoint.ToString()}});
    return false;
  }
  Adopt(node, *answer, *targets);
  return true;
}

void ControlFollower::Adopt(Node& node,
                            const traffic::WatchAnswer& answer,
                            const std::vector<traffic::TargetRecord>& targets) {
  const TimePoint now = SteadyNow();
  if (node.boot != answer.boot) {
    state_.quarantine.TellAgain(now);
  }
  node.boot = answer.boot;
  node.revision = answer.revision;
  node.told_version = answer.version;
  node.told_bytes = answer.bytes;
  node.is_leader = answer.is_leader;
  node.slow_revision = answer.slow_revision;
  node.quarantine_revision = answer.quarantine_revision;
  node.limits_revision = answer.limits_revision;
  node.heard_at = now;
  if (answer.quarantine.has_value()) {
    state_.quarantine.Adopt(node.endpoint.ToString(), *answer.quarantine,
                            answer.is_quarantine_whole, now);
  }
  if (answer.shares.has_value()) {
    state_.targets.limits().Adopt(node.endpoint.ToString(), *answer.shares,
                                  now);
  }
  AdoptConfiguration(answer);
  state_.NoteGateways(answer.gateways);
  state_.targets.Update(node.endpoint.ToString(), answer.is_whole, targets,
                        now);
  state_.targets.SetSlow(node.endpoint.ToString(), answer.slow_targets);
  state_.news.NotifyAll();
  if (answer.is_leader && answer.version > 0) {
    has_heard_leader_ = true;
  }
  std::vector<net::Endpoint> members;
  for (const std::string& member : answer.members) {
    if (const auto endpoint = net::ParseEndpoint(member)) {
      members.push_back(*endpoint);
    }
  }
  members_ = {members.begin(), members.end()};
  Follow(members);
}

// Never goes back: an answer that was overtaken is older than what is served.
void ControlFollower::AdoptConfiguration(const traffic::WatchAnswer& answer) {
  if (!answer.configuration.has_value() ||
      answer.version <= version_in_force()) {
    return;
  }
  const auto text = packing::Unpack(*answer.configuration);
  if (!text.has_value()) {
    log_.Error("Can't unpack the configuration.",
               {{"version", answer.version},
                {"bytes", answer.configuration->value.size()}});
    return;
  }
  auto read = read_configuration_(*text);
  auto* configuration = std::get_if<traffic::TrafficConfiguration>(&read);
  if (configuration == nullptr) {
    log_.Error(
        "Can't read the configuration.",
        {{"version", answer.version}, {"reason", std::get<std::string>(read)}});
    return;
  }
  state_.routes = std::make_shared<const traffic::RouteTable>(
      std::make_shared<const traffic::TrafficConfiguration>(
          std::move(*configuration)));
  log_.Info("Configuration in force.",
            {{"version", answer.version},
             {"routes", state_.routes->configuration().routes.size()}});
}

}  // namespace bilberryspool::gateway
