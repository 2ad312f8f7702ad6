#include "libs/traffic/watch_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "libs/traffic/json_reading.h"
#include "libs/traffic/target_codec.h"

namespace bilberryspool::traffic {

namespace json = boost::json;

json::value ToJson(const WatchQuery& query) {
  return json::object{{"boot", query.boot},
                      {"revision", query.revision},
                      {"version", query.version},
                      {"was_leader", query.was_leader},
                      {"wait_us", query.wait.count()}};
}

json::value ToJson(const WatchAnswer& answer) {
  json::array targets;
  for (const TargetRecord& record : answer.targets) {
    targets.push_back(ToJson(record));
  }
  json::array members;
  for (const std::string& member : answer.members) {
    members.emplace_back(member);
  }
  json::object object{{"boot", answer.boot},
                      {"revision", answer.revision},
                      {"version", answer.version},
                      {"leader", answer.is_leader},
                      {"whole", answer.is_whole},
                      {"targets", std::move(targets)},
                      {"members", std::move(members)}};
  if (answer.configuration.has_value()) {
    object["configuration"] = *answer.configuration;
  }
  return object;
}

std::optional<WatchQuery> WatchQueryFromJson(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto boot = Number(*object, "boot");
  const auto revision = Number(*object, "revision");
  const auto version = Number(*object, "version");
  const auto was_leader = Flag(*object, "was_leader");
  const auto wait = Number(*object, "wait_us");
  if (!boot || !revision || !version || !was_leader || !wait) {
    return std::nullopt;
  }
  return WatchQuery{*boot, *revision, *version, *was_leader,
                    Microseconds(static_cast<std::int64_t>(*wait))};
}

std::optional<WatchAnswer> WatchAnswerFromJson(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto boot = Number(*object, "boot");
  const auto revision = Number(*object, "revision");
  const auto version = Number(*object, "version");
  const auto is_leader = Flag(*object, "leader");
  const auto is_whole = Flag(*object, "whole");
  const json::array* targets = List(*object, "targets");
  const json::array* members = List(*object, "members");
  if (!boot || !revision || !version || !is_leader || !is_whole ||
      targets == nullptr || members == nullptr) {
    return std::nullopt;
  }
  WatchAnswer answer{*boot,     *revision, *version, *is_leader,
                     *is_whole, {},        {},       Text(*object, "configuration")};
  for (const json::value& item : *targets) {
    auto record = TargetRecordFromJson(item);
    if (!record.has_value()) {
      return std::nullopt;
    }
    answer.targets.push_back(std::move(*record));
  }
  for (const json::value& item : *members) {
    if (!item.is_string()) {
      return std::nullopt;
    }
    answer.members.emplace_back(item.as_string());
  }
  return answer;
}

}  // namespace bilberryspool::traffic
