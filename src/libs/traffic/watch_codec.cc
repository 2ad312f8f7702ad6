#include "libs/traffic/watch_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "libs/base/json_reading.h"
#include "libs/declared_limits/limit_codec.h"
#include "libs/group_loads/group_load_codec.h"
#include "libs/quarantine/quarantine_codec.h"

namespace bilberryspool::traffic {

namespace json = boost::json;
using json_reading::Decimal;
using json_reading::Flag;
using json_reading::List;
using json_reading::Number;
using json_reading::Text;

namespace {

std::optional<cold_targets::GatewaySeat> SeatFromJson(
    const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto index = Number(*object, "index");
  const auto count = Number(*object, "count");
  const auto is_confirmed = Flag(*object, "confirmed");
  if (!index || !count || *index >= *count || !is_confirmed) {
    return std::nullopt;
  }
  return cold_targets::GatewaySeat{*index, *count, *is_confirmed};
}

std::optional<evacuation::EvacuationState> EvacuationsFromJson(
    const json::object& object) {
  const auto revision = Number(object, "evacuation_revision");
  const json::array* domains = List(object, "evacuated");
  if (!revision || domains == nullptr) {
    return std::nullopt;
  }
  evacuation::EvacuationState state;
  state.revision = *revision;
  for (const json::value& domain : *domains) {
    if (!domain.is_string()) {
      return std::nullopt;
    }
    state.domains.insert(FailureDomain(std::string(domain.get_string())));
  }
  return state;
}

}  // namespace

json::value ToJson(const WatchQuery& query) {
  return json::object{{"asker", query.requester},
                      {"control_address", query.control_address},
                      {"boot", query.boot},
                      {"revision", query.revision},
                      {"version", query.version},
                      {"was_leader", query.was_leader},
                      {"slow_revision", query.slow_revision},
                      {"quarantine_revision", query.quarantine_revision},
                      {"limits_revision", query.limits_revision},
                      {"evacuation_revision", query.evacuation_revision},
                      {"group_loads_revision", query.group_loads_revision},
                      {"wants_seat", query.wants_seat},
                      {"seat_count", query.seat_count},
                      {"seat_confirmed", query.is_seat_confirmed},
                      {"known_seat_count", query.known_seat_count},
                      {"limits", declared_limits::ToJson(query.limits)},
                      {"wants_configuration", query.wants_configuration},
                      {"wait_us", query.wait.count()}};
}

json::value ToJson(const WatchAnswer& answer) {
  json::array members;
  for (const std::string& member : answer.members) {
    members.emplace_back(member);
  }
  json::object slow;
  for (const auto& [address, pace] : answer.slow_targets) {
    slow[address] = pace;
  }
  json::array evacuated;
  for (const FailureDomain& domain : answer.evacuations.domains) {
    evacuated.emplace_back(domain.value());
  }
  json::object object{{"boot", answer.boot},
                      {"revision", answer.revision},
                      {"version", answer.version},
                      {"bytes", answer.bytes},
                      {"leader", answer.is_leader},
                      {"slow_revision", answer.slow_revision},
                      {"slow", std::move(slow)},
                      {"quarantine_revision", answer.quarantine_revision},
                      {"quarantine_whole", answer.is_quarantine_whole},
                      {"limits_revision", answer.limits_revision},
                      {"whole", answer.is_whole},
                      {"targets", answer.targets.value},
                      {"gateways", answer.gateways},
                      {"sharers", answer.sharers},
                      {"evacuation_revision", answer.evacuations.revision},
                      {"evacuated", std::move(evacuated)},
                      {"group_loads_revision", answer.group_loads_revision},
                      {"members", std::move(members)}};
  if (answer.quarantine.has_value()) {
    object["quarantine"] = quarantine::ToJson(*answer.quarantine);
  }
  if (answer.shares.has_value()) {
    object["shares"] = declared_limits::ToJson(*answer.shares);
  }
  if (answer.seat.has_value()) {
    object["seat"] = {{"index", answer.seat->index},
                      {"count", answer.seat->count},
                      {"confirmed", answer.seat->is_confirmed}};
  }
  if (answer.group_loads.has_value()) {
    object["group_loads"] = group_loads::ToJson(*answer.group_loads);
  }
  if (answer.configuration.has_value()) {
    object["configuration"] = answer.configuration->value;
  }
  return object;
}

std::optional<WatchQuery> WatchQueryFromJson(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto requester = Text(*object, "asker");
  const auto control_address = Text(*object, "control_address");
  const auto boot = Number(*object, "boot");
  const auto revision = Number(*object, "revision");
  const auto version = Number(*object, "version");
  const auto was_leader = Flag(*object, "was_leader");
  const auto slow_revision = Number(*object, "slow_revision");
  const auto quarantine_revision = Number(*object, "quarantine_revision");
  const auto limits_revision = Number(*object, "limits_revision");
  const auto evacuation_revision = Number(*object, "evacuation_revision");
  const auto group_loads_revision = Number(*object, "group_loads_revision");
  const auto wants_seat = Flag(*object, "wants_seat");
  const auto seat_count = Number(*object, "seat_count");
  const auto is_seat_confirmed = Flag(*object, "seat_confirmed");
  const auto known_seat_count = Number(*object, "known_seat_count");
  const json::value* limits = object->if_contains("limits");
  auto statements = limits == nullptr
                        ? std::nullopt
                        : declared_limits::StatementsFromJson(*limits);
  const auto wants_configuration = Flag(*object, "wants_configuration");
  const auto wait = Number(*object, "wait_us");
  if (!requester || !control_address || !boot || !revision || !version ||
      !was_leader || !slow_revision || !quarantine_revision ||
      !limits_revision || !evacuation_revision || !group_loads_revision ||
      !wants_seat || !seat_count || !known_seat_count || !is_seat_confirmed ||
      !statements || !wants_configuration || !wait) {
    return std::nullopt;
  }
  WatchQuery query;
  query.requester = *requester;
  query.control_address = *control_address;
  query.boot = *boot;
  query.revision = *revision;
  query.version = *version;
  query.was_leader = *was_leader;
  query.slow_revision = *slow_revision;
  query.quarantine_revision = *quarantine_revision;
  query.limits_revision = *limits_revision;
  query.evacuation_revision = *evacuation_revision;
  query.group_loads_revision = *group_loads_revision;
  query.wants_seat = *wants_seat;
  query.seat_count = *seat_count;
  query.is_seat_confirmed = *is_seat_confirmed;
  query.known_seat_count = *known_seat_count;
  query.limits = std::move(*statements);
  query.wants_configuration = *wants_configuration;
  query.wait = Microseconds(static_cast<std::int64_t>(*wait));
  return query;
}

std::optional<WatchAnswer> WatchAnswerFromJson(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto boot = Number(*object, "boot");
  const auto revision = Number(*object, "revision");
  const auto version = Number(*object, "version");
  const auto bytes = Number(*object, "bytes");
  const auto is_leader = Flag(*object, "leader");
  const auto is_whole = Flag(*object, "whole");
  const auto slow_revision = Number(*object, "slow_revision");
  const auto quarantine_revision = Number(*object, "quarantine_revision");
  const auto is_quarantine_whole = Flag(*object, "quarantine_whole");
  const auto limits_revision = Number(*object, "limits_revision");
  const auto gateways = Number(*object, "gateways");
  const auto sharers = Number(*object, "sharers");
  const auto group_loads_revision = Number(*object, "group_loads_revision");
  auto evacuations = EvacuationsFromJson(*object);
  auto targets = Text(*object, "targets");
  const json::array* members = List(*object, "members");
  const json::value* slow = object->if_contains("slow");
  if (!boot || !revision || !version || !bytes || !is_leader || !is_whole ||
      !slow_revision || !quarantine_revision || !is_quarantine_whole ||
      !limits_revision || !gateways || !sharers || !evacuations ||
      !group_loads_revision || !targets || members == nullptr ||
      slow == nullptr || !slow->is_object()) {
    return std::nullopt;
  }
  WatchAnswer answer;
  answer.boot = *boot;
  answer.revision = *revision;
  answer.version = *version;
  answer.bytes = *bytes;
  answer.is_leader = *is_leader;
  answer.slow_revision = *slow_revision;
  answer.quarantine_revision = *quarantine_revision;
  answer.is_quarantine_whole = *is_quarantine_whole;
  if (const json::value* records = object->if_contains("quarantine")) {
    answer.quarantine = quarantine::RecordsFromJson(*records);
    if (!answer.quarantine.has_value()) {
      return std::nullopt;
    }
  }
  answer.limits_revision = *limits_revision;
  if (const json::value* shares = object->if_contains("shares")) {
    answer.shares = declared_limits::SharesFromJson(*shares);
    if (!answer.shares.has_value()) {
      return std::nullopt;
    }
  }
  answer.gateways = *gateways;
  answer.sharers = *sharers;
  answer.evacuations = std::move(*evacuations);
  if (const json::value* seat = object->if_contains("seat")) {
    answer.seat = SeatFromJson(*seat);
    if (!answer.seat.has_value()) {
      return std::nullopt;
    }
  }
  answer.group_loads_revision = *group_loads_revision;
  if (const json::value* loads = object->if_contains("group_loads")) {
    answer.group_loads = group_loads::LoadsFromJson(*loads);
    if (!answer.group_loads.has_value()) {
      return std::nullopt;
    }
  }
  answer.is_whole = *is_whole;
  if (auto text = Text(*object, "configuration")) {
    answer.configuration = packing::PackedText{std::move(*text)};
  }
  for (const auto& item : slow->get_object()) {
    const auto pace = Decimal(slow->get_object(), item.key());
    if (!pace.has_value()) {
      return std::nullopt;
    }
    answer.slow_targets[std::string(item.key())] = *pace;
  }
  answer.targets = packing::PackedText{std::move(*targets)};
  for (const json::value& item : *members) {
    if (!item.is_string()) {
      return std::nullopt;
    }
    answer.members.emplace_back(item.as_string());
  }
  return answer;
}

}  // namespace bilberryspool::traffic
