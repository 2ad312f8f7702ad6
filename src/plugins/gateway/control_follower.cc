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

// A node delays its answer by kMaxWatchDuration at most. After this timeout the
// node is dead or disconnected, or the connection has gone silent.
constexpr Duration kWatchTimeout =
    traffic::kMaxWatchDuration + Milliseconds(600);
// Interval between queries to a node while a newer configuration is known but
// not fetched. With 39 gateways and 6 nodes this is 780 queries a second.
constexpr Duration kFetchPollInterval = Milliseconds(300);
constexpr Duration kCallAllTimeout = Milliseconds(500);
// Short, as a request waits for the answer.
constexpr Duration kCallOneTimeout = Milliseconds(200);
constexpr Duration kRetryDelay = Milliseconds(150);
// If the leader does not answer for this time after the start, the newest
// configuration received is served, so that a failure domain that is cut off
// keeps serving.
constexpr Duration kLeaderWaitTimeout = Seconds(3);
// A node that does not answer and that no other node lists as a member is no
// longer followed after this time.
constexpr Duration kNodeRetention = Seconds(20);

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
    node->last_response_at = SteadyNow();
    loop_.Spawn([this, node] { Run(node); });
  }
}

bool ControlFollower::is_current(TimePoint now) const {
  return state_.routes != nullptr &&
         (has_leader_responded_ || now - started_at_ > kLeaderWaitTimeout);
}

void ControlFollower::Run(const std::shared_ptr<Node>& node) {
  while (true) {
    const bool is_reachable =
        SendWatchQuery(*node, /*wants_configuration=*/false);
    if (is_reachable) {
      FetchConfiguration(*node);
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
    // The node would otherwise not report its slow targets again until they
    // change, or for kMaxWatchDuration.
    node->slow_revision = 0;
    const bool should_unfollow =
        SteadyNow() - node->last_response_at > kNodeRetention &&
        members_.count(node->endpoint) == 0 && !reachable_.empty();
    if (should_unfollow) {
      log_.Info("Stopped following a control node.",
                {{"node", node->endpoint.ToString()}});
      followed_.erase(node->endpoint);
      return;
    }
    loop_.SleepFor(kRetryDelay);
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

bool ControlFollower::is_home_node(const Node& node) const {
  const auto ranked = RankReachable(name_, 1);
  return !ranked.empty() && ranked.front() == node.endpoint;
}

bool ControlFollower::CallNode(const net::Endpoint& node,
                               const std::string& method,
                               const boost::json::value& params) {
  const auto result = client_.Call(node, method, params, kCallAllTimeout);
  const bool is_answered = std::holds_alternative<boost::json::value>(result);
  if (!is_answered) {
    client_.DropIdle(node);
  }
  return is_answered;
}

void ControlFollower::CallAll(const std::string& method,
                              const boost::json::value& params) {
  for (const net::Endpoint& node : reachable_) {
    loop_.Spawn([this, node, method, params] {
      if (CallNode(node, method, params) || CallNode(node, method, params)) {
        return;
      }
      log_.Warn("A control node can't be told.",
                {{"node", node.ToString()}, {"method", method}});
    });
  }
}

std::optional<boost::json::value> ControlFollower::CallOne(
    const std::string& key,
    const std::string& method,
    const std::function<boost::json::value(std::size_t rank)>& make_params) {
  constexpr std::size_t kMaxCalledNodes = 2;
  std::size_t rank = 0;
  for (const net::Endpoint& node : RankReachable(key, kMaxCalledNodes)) {
    const auto result =
        client_.Call(node, method, make_params(rank++), kCallOneTimeout);
    if (const auto* answer = std::get_if<boost::json::value>(&result)) {
      return *answer;
    }
    client_.DropIdle(node);
  }
  log_.Warn("No control node answers.", {{"method", method}});
  return std::nullopt;
}

// All nodes report a new configuration at about the same moment. If each answer
// contained the text, it would cross the links once for each control node.
void ControlFollower::FetchConfiguration(Node& node) {
  if (node.reported_version <= version_in_force()) {
    return;
  }
  const traffic::ReportedConfiguration reported{
      node.reported_version, node.reported_bytes, state_.gateway_count,
      is_home_node(node)};
  if (configuration_fetch_.ShouldStart(reported, version_in_force(),
                                       SteadyNow()) &&
      !SendWatchQuery(node, /*wants_configuration=*/true)) {
    configuration_fetch_.OnFailed();
  }
}

bool ControlFollower::SendWatchQuery(Node& node, bool wants_configuration) {
  traffic::WatchQuery query;
  query.requester = name_;
  query.boot = node.boot;
  query.revision = node.revision;
  // A version that the node has reported already does not count as a change.
  query.version = wants_configuration
                      ? version_in_force()
                      : std::max(version_in_force(), node.reported_version);
  query.wants_configuration = wants_configuration;
  query.was_leader = node.is_leader;
  query.slow_revision = node.slow_revision;
  query.quarantine_revision = node.quarantine_revision;
  query.limits_revision = node.limits_revision;
  query.evacuation_revision = node.evacuation_revision;
  query.group_loads_revision = node.group_loads_revision;
  query.wants_seat = state_.targets.cold_starts().has_rates();
  const auto& seat = state_.targets.cold_starts().seat();
  query.known_seat_count = seat.has_value() ? seat->count : 0;
  query.seat_count = node.seat_count;
  query.is_seat_confirmed = node.is_seat_confirmed;
  query.limits = state_.targets.limits().Statements(SteadyNow());
  // While another fiber fetches the configuration, this fiber queries again
  // soon in case that fetch fails.
  const bool lacks_configuration = node.reported_version > version_in_force();
  query.wait = wants_configuration   ? Duration::zero()
               : lacks_configuration ? kFetchPollInterval
                                     : traffic::kMaxWatchDuration;
  const auto result = client_.Call(node.endpoint, "control.watch",
                                   traffic::ToJson(query), kWatchTimeout);
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
    log_.Warn("The answer of a control node is malformed.",
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
    state_.quarantine.ReportTerminationsAgain(now);
  }
  node.boot = answer.boot;
  node.revision = answer.revision;
  node.reported_version = answer.version;
  node.reported_bytes = answer.bytes;
  node.is_leader = answer.is_leader;
  node.slow_revision = answer.slow_revision;
  node.quarantine_revision = answer.quarantine_revision;
  node.limits_revision = answer.limits_revision;
  node.evacuation_revision = answer.evacuations.revision;
  node.group_loads_revision = answer.group_loads_revision;
  if (answer.seat.has_value()) {
    node.seat_count = answer.seat->count;
    node.is_seat_confirmed = answer.seat->is_confirmed;
    state_.targets.cold_starts().SetSeat(*answer.seat);
  }
  node.last_response_at = now;
  if (answer.quarantine.has_value()) {
    state_.quarantine.Adopt(node.endpoint.ToString(), *answer.quarantine,
                            answer.is_quarantine_whole, now);
  }
  if (answer.shares.has_value()) {
    state_.targets.limits().Adopt(node.endpoint.ToString(), *answer.shares,
                                  now);
  }
  AdoptEvacuations(answer.evacuations);
  AdoptConfiguration(answer);
  state_.SetGatewayCount(answer.gateways);
  state_.SetRetrySharers(answer.sharers);
  state_.targets.Update(node.endpoint.ToString(), answer.is_whole, targets,
                        now);
  state_.targets.SetSlow(node.endpoint.ToString(), answer.slow_targets);
  if (answer.group_loads.has_value()) {
    state_.targets.SetGroupLoads(node.endpoint.ToString(), *answer.group_loads,
                                 now);
  }
  state_.update_signal.NotifyAll();
  if (answer.is_leader && answer.version > 0) {
    has_leader_responded_ = true;
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

// The version in force never decreases: an answer that arrives late may be
// older than the configuration in force.
void ControlFollower::AdoptEvacuations(
    const evacuation::EvacuationState& reported) {
  if (!state_.targets.SetEvacuated(reported)) {
    return;
  }
  log_.Info("Evacuated failure domains changed.",
            {{"domains", evacuation::NamesOf(reported)},
             {"revision", reported.revision}});
}

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
  state_.targets.cold_starts().SetRates(
      traffic::ColdStartRates(state_.routes->configuration()));
  if (state_.on_configuration) {
    state_.on_configuration(state_.routes->configuration());
  }
  log_.Info("Configuration in force.",
            {{"version", answer.version},
             {"routes", state_.routes->configuration().routes.size()}});
}

}  // namespace bilberryspool::gateway
