#include "plugins/control_node/watch_service.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "libs/net/steady_time.h"
#include "libs/traffic/target_codec.h"
#include "libs/traffic/watch_codec.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

WatchService::WatchService(net::NetworkLoop& loop, ControlNode& node)
    : loop_(loop), node_(node), census_(SteadyNow()) {}

void WatchService::Register(links::LinkServer& server) {
  server.Register("control.watch",
                  [this](const Json& params) { return OnWatch(params); });
}

std::optional<boost::json::value> WatchService::OnWatch(const Json& params) {
  const auto query = traffic::WatchQueryFromJson(params);
  if (!query.has_value()) {
    return std::nullopt;
  }
  if (!query->requester.empty()) {
    RecordGateway(*query);
  }
  if (const auto node = net::ParseEndpoint(query->control_address)) {
    node_.OnNodeContact(*node);
  }
  const bool knows_this_boot = query->boot == node_.boot();
  const std::uint64_t revision = knows_this_boot ? query->revision : 0;
  const auto has_new_seat = [&] {
    const auto seat = node_.roster().SeatOf(query->requester);
    return query->wants_seat && seat.has_value() &&
           (query->seat_count != seat->count ||
            query->is_seat_confirmed != seat->is_confirmed);
  };
  const auto is_urgent = [&] {
    return node_.configuration().version() > query->version ||
           query->was_leader != node_.replica().is_leader() ||
           query->slow_revision != node_.slow_revision() ||
           query->quarantine_revision < node_.quarantine().urgent_revision() ||
           (!query->requester.empty() &&
            (query->limits_revision != node_.limits().published_revision() ||
             query->evacuation_revision != node_.evacuations().revision() ||
             query->group_loads_revision <
                 node_.group_loads().urgent_revision())) ||
           has_new_seat();
  };
  const auto has_update = [&] {
    return !knows_this_boot || node_.targets().revision() > revision ||
           is_urgent();
  };
  const TimePoint deadline =
      SteadyNow() + std::min(query->wait, traffic::kMaxWatchDuration);
  while (!has_update() && SteadyNow() < deadline) {
    node_.changed().WaitUntil(deadline);
  }
  if (has_update() && !is_urgent() && !query->wants_configuration) {
    loop_.SleepFor(BatchingDelay());
  }
  traffic::WatchAnswer answer;
  answer.boot = node_.boot();
  answer.is_leader = node_.replica().is_leader();
  answer.slow_revision = node_.slow_revision();
  answer.slow_targets = node_.slow_targets();
  answer.is_whole = !knows_this_boot;
  answer.quarantine_revision = node_.quarantine().published_revision();
  answer.is_quarantine_whole = node_.quarantine().is_settled();
  if (!knows_this_boot ||
      query->quarantine_revision != answer.quarantine_revision) {
    answer.quarantine = node_.quarantine().published_records();
  }
  answer.limits_revision = node_.limits().published_revision();
  if (!query->requester.empty() &&
      (!knows_this_boot || query->limits_revision != answer.limits_revision)) {
    answer.shares = node_.limits().registry().SharesOf(query->requester);
  }
  // Half of the batching delay: a requester that got an update up to an older
  // revision sends its next request immediately.
  const Duration freshness = BatchingDelay() / 2;
  TargetUpdates::Update update = target_updates_.ChangesSince(
      node_.targets(), revision, freshness, SteadyNow());
  answer.revision = update.revision;
  answer.targets = std::move(update.targets);
  for (const net::Endpoint& member : node_.FindNodes()) {
    answer.members.push_back(member.ToString());
  }
  answer.gateways = CountGateways(SteadyNow());
  answer.sharers = census_.CountSharers(answer.is_leader, SteadyNow());
  answer.evacuations = node_.evacuations().state();
  if (query->wants_seat) {
    answer.seat = node_.roster().SeatOf(query->requester);
  }
  answer.group_loads_revision = node_.group_loads().revision();
  if (!query->requester.empty() &&
      query->group_loads_revision != answer.group_loads_revision) {
    answer.group_loads = node_.group_loads().published();
  }
  answer.version = node_.configuration().version();
  answer.bytes = node_.configuration().text().value.size();
  if (query->wants_configuration && answer.version > query->version) {
    answer.configuration = node_.configuration().text();
  }
  return traffic::ToJson(answer);
}

void WatchService::RecordGateway(const traffic::WatchQuery& query) {
  const TimePoint now = SteadyNow();
  census_.OnQuery(query.requester, now);
  if (gateways_.insert_or_assign(query.requester, now).second) {
    ShareLimits();
  }
  node_.limits().Note(query.requester, query.limits, now);
  if (query.wants_seat) {
    node_.NoteGateway(query.requester, query.known_seat_count);
  }
}

std::size_t WatchService::CountGateways(TimePoint now) {
  // Several watch requests may be lost before a gateway counts as gone.
  const Duration retention = traffic::kMaxWatchDuration * 5;
  const std::size_t gone = std::erase_if(gateways_, [&](const auto& item) {
    return now - item.second > retention;
  });
  if (gone > 0) {
    ShareLimits();
  }
  return gateways_.size();
}

void WatchService::ShareLimits() {
  std::vector<std::string> names;
  names.reserve(gateways_.size());
  for (const auto& [name, last_request_at] : gateways_) {
    names.push_back(name);
  }
  node_.group_loads().SetReaders(names.size());
  node_.limits().SetGateways(std::move(names), SteadyNow());
}

// When thousands of targets announce themselves within a second, each one would
// be sent to each of hundreds of gateways in a separate answer. That is more
// than a small node can send, and all its other work falls behind.
Duration WatchService::BatchingDelay() const {
  // With 240 gateways and 3,000 targets, a node with 0.15 of a core had 98%
  // load without this delay, and 52% with it. The maximum leaves most of the
  // two seconds for which a leaving target continues to serve.
  constexpr Duration kPerGateway = Microseconds(1500);
  constexpr Duration kMaxDelay = Milliseconds(400);
  const auto gateways = static_cast<Duration::rep>(gateways_.size());
  return std::min(kPerGateway * gateways, kMaxDelay);
}

}  // namespace bilberryspool::control_node
