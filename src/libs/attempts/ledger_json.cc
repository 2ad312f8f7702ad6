#include "libs/attempts/ledger_json.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "libs/attempts/messages_json.h"

namespace bilberryspool::attempts {

namespace json = boost::json;

namespace {

constexpr std::uint64_t kLastState =
    static_cast<std::uint64_t>(LedgerEntry::State::kFinished);

json::value EntryToJson(const LedgerEntry& entry) {
  // A FinishClaim message carries key, claimant and outcome.
  json::object object{
      {"finish", ToJson(FinishClaim{entry.key, entry.claimant, entry.outcome})},
      {"fingerprint", entry.fingerprint.value()},
      {"round", entry.round.value()},
      {"state", static_cast<std::uint64_t>(entry.state)},
      {"age_us", entry.age.count()}};
  if (entry.attempt.has_value()) {
    object["attempt"] = ToJson(SettleRequest{*entry.attempt, false});
  }
  return object;
}

std::optional<std::uint64_t> ReadNumber(const json::object& object,
                                        const char* key) {
  const auto* value = object.if_contains(key);
  if (value == nullptr || !value->is_number()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto number = value->to_number<std::uint64_t>(error);
  if (error) {
    return std::nullopt;
  }
  return number;
}

std::optional<LedgerEntry> EntryFromJson(const json::value& value) {
  const auto* object = value.if_object();
  const auto* finish_json =
      object != nullptr ? object->if_contains("finish") : nullptr;
  if (finish_json == nullptr) {
    return std::nullopt;
  }
  auto finish = FromJson<FinishClaim>(*finish_json);
  const auto fingerprint = ReadNumber(*object, "fingerprint");
  const auto round = ReadNumber(*object, "round");
  const auto state = ReadNumber(*object, "state");
  const auto age = ReadNumber(*object, "age_us");
  const bool is_valid = finish.has_value() && fingerprint.has_value() &&
                        round.has_value() && state.has_value() &&
                        *state <= kLastState && age.has_value();
  if (!is_valid) {
    return std::nullopt;
  }
  LedgerEntry entry;
  entry.key = std::move(finish->key);
  entry.claimant = std::move(finish->claimant);
  entry.outcome = std::move(finish->outcome);
  entry.fingerprint = Fingerprint(*fingerprint);
  entry.round = ClaimRound(*round);
  entry.state = static_cast<LedgerEntry::State>(*state);
  entry.age = Duration(static_cast<Duration::rep>(*age));
  if (const auto* attempt_json = object->if_contains("attempt")) {
    auto attempt = FromJson<SettleRequest>(*attempt_json);
    if (!attempt.has_value()) {
      return std::nullopt;
    }
    entry.attempt = std::move(attempt->attempt);
  }
  return entry;
}

}  // namespace

json::value ToJson(const LedgerExport& ledger) {
  json::array entries;
  for (const LedgerEntry& entry : ledger.entries) {
    entries.push_back(EntryToJson(entry));
  }
  return json::object{{"holder", ledger.holder.value()},
                      {"incarnation", ledger.incarnation.value()},
                      {"entries", std::move(entries)}};
}

std::optional<LedgerExport> LedgerFromJson(const json::value& value) {
  const auto* object = value.if_object();
  const auto* holder =
      object != nullptr ? object->if_contains("holder") : nullptr;
  const auto* entries =
      object != nullptr ? object->if_contains("entries") : nullptr;
  const auto incarnation =
      object != nullptr ? ReadNumber(*object, "incarnation") : std::nullopt;
  const bool is_valid = holder != nullptr && holder->is_string() &&
                        entries != nullptr && entries->is_array() &&
                        incarnation.has_value();
  if (!is_valid) {
    return std::nullopt;
  }
  LedgerExport ledger;
  ledger.holder = NodeId(std::string(holder->as_string()));
  ledger.incarnation = Incarnation(*incarnation);
  for (const json::value& item : entries->as_array()) {
    auto entry = EntryFromJson(item);
    if (!entry.has_value()) {
      return std::nullopt;
    }
    ledger.entries.push_back(std::move(*entry));
  }
  return ledger;
}

}  // namespace bilberryspool::attempts
