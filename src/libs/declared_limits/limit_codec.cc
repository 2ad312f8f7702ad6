#include "libs/declared_limits/limit_codec.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <charconv>
#include <cmath>
#include <utility>

#include "libs/base/json_reading.h"

namespace bilberryspool::declared_limits {

namespace json = boost::json;
using json_reading::Decimal;
using json_reading::Number;
using json_reading::Text;

namespace {

std::optional<TargetRun> ReadRun(const json::object& object) {
  const auto target = Text(object, "target");
  const auto incarnation = Number(object, "incarnation");
  if (!target.has_value() || !incarnation.has_value()) {
    return std::nullopt;
  }
  return TargetRun{TargetId(*target), Incarnation(*incarnation)};
}

std::optional<LimitStatement> ReadStatement(const json::object& object) {
  const auto run = ReadRun(object);
  const auto age = Number(object, "age_us");
  if (!run.has_value() || !age.has_value()) {
    return std::nullopt;
  }
  LimitStatement statement;
  statement.run = *run;
  statement.age = Microseconds(static_cast<std::int64_t>(*age));
  if (object.contains("per_second")) {
    statement.per_second = Decimal(object, "per_second");
    if (!statement.per_second.has_value()) {
      return std::nullopt;
    }
  }
  return statement;
}

std::optional<LimitShare> ReadShare(const json::object& object) {
  const auto run = ReadRun(object);
  const auto per_second = Decimal(object, "per_second");
  const auto share = Decimal(object, "share");
  if (!run.has_value() || !per_second.has_value() || !share.has_value()) {
    return std::nullopt;
  }
  return LimitShare{*run, *per_second, *share};
}

std::optional<DeclaredLimit> ReadDeclared(const json::object& object) {
  const auto run = ReadRun(object);
  const auto per_second = Decimal(object, "per_second");
  if (!run.has_value() || !per_second.has_value()) {
    return std::nullopt;
  }
  return DeclaredLimit{*run, *per_second};
}

std::optional<Grant> ReadGrant(const json::object& object) {
  const auto run = ReadRun(object);
  const auto requests = Number(object, "requests");
  if (!run.has_value() || !requests.has_value()) {
    return std::nullopt;
  }
  return Grant{*run, static_cast<std::uint32_t>(*requests)};
}

// An object that identifies a run of a target, with one more member.
json::object RunObject(const TargetRun& run,
                       const char* key,
                       const json::value& value) {
  return json::object{{"target", run.target.value()},
                      {"incarnation", run.incarnation.value()},
                      {key, value}};
}

}  // namespace

std::optional<double> ReadLimit(std::string_view text) {
  double number = 0.0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  const bool is_number = parsed.ec == std::errc() && parsed.ptr == end &&
                         std::isfinite(number) && number >= 0.0;
  return is_number ? std::optional<double>(number) : std::nullopt;
}

json::value ToJson(const std::vector<LimitStatement>& statements) {
  json::array array;
  for (const LimitStatement& statement : statements) {
    json::object object{{"target", statement.run.target.value()},
                        {"incarnation", statement.run.incarnation.value()},
                        {"age_us", statement.age.count()}};
    if (statement.per_second.has_value()) {
      object["per_second"] = *statement.per_second;
    }
    array.push_back(std::move(object));
  }
  return array;
}

json::value ToJson(const std::vector<LimitShare>& shares) {
  json::array array;
  for (const LimitShare& share : shares) {
    array.push_back(json::object{{"target", share.run.target.value()},
                                 {"incarnation", share.run.incarnation.value()},
                                 {"per_second", share.per_second},
                                 {"share", share.share}});
  }
  return array;
}

json::value ToJson(const GrantRequest& request) {
  json::array targets;
  for (const DeclaredLimit& target : request.targets) {
    targets.push_back(RunObject(target.run, "per_second", target.per_second));
  }
  return json::object{{"targets", std::move(targets)},
                      {"wanted", request.wanted},
                      {"is_first_choice", request.is_first_choice}};
}

json::value ToJson(const GrantAnswer& answer) {
  json::array grants;
  for (const Grant& grant : answer.grants) {
    grants.push_back(RunObject(grant.run, "requests", grant.requests));
  }
  return json::object{{"grants", std::move(grants)},
                      {"wait_us", answer.wait.count()}};
}

std::optional<GrantRequest> GrantRequestFromJson(const json::value& value) {
  const auto* object = value.if_object();
  const auto* list =
      object != nullptr ? object->if_contains("targets") : nullptr;
  if (list == nullptr) {
    return std::nullopt;
  }
  auto targets = json_reading::ReadObjects<DeclaredLimit>(*list, ReadDeclared);
  const auto wanted = Number(*object, "wanted");
  const auto is_first_choice = json_reading::Flag(*object, "is_first_choice");
  if (!targets.has_value() || !wanted.has_value() ||
      !is_first_choice.has_value()) {
    return std::nullopt;
  }
  constexpr std::uint64_t kMaxWanted = 10'000;
  return GrantRequest{std::move(*targets),
                      static_cast<std::uint32_t>(std::min(*wanted, kMaxWanted)),
                      *is_first_choice};
}

std::optional<GrantAnswer> GrantAnswerFromJson(const json::value& value) {
  const auto* object = value.if_object();
  const auto* list =
      object != nullptr ? object->if_contains("grants") : nullptr;
  if (list == nullptr) {
    return std::nullopt;
  }
  auto grants = json_reading::ReadObjects<Grant>(*list, ReadGrant);
  const auto wait = Number(*object, "wait_us");
  if (!grants.has_value() || !wait.has_value()) {
    return std::nullopt;
  }
  return GrantAnswer{std::move(*grants),
                     Microseconds(static_cast<std::int64_t>(*wait))};
}

std::optional<std::vector<LimitStatement>> StatementsFromJson(
    const json::value& value) {
  return json_reading::ReadObjects<LimitStatement>(value, ReadStatement);
}

std::optional<std::vector<LimitShare>> SharesFromJson(
    const json::value& value) {
  return json_reading::ReadObjects<LimitShare>(value, ReadShare);
}

}  // namespace bilberryspool::declared_limits
