#include "libs/attempts/messages_json.h"

#include <algorithm>
#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <string_view>
#include <utility>

#include "libs/base/overloaded.h"

namespace bilberryspool::attempts {
namespace {

namespace json = boost::json;

constexpr std::array<std::string_view, 4> kAbstainNames = {
    "restarted", "full", "stale_roster", "stopped"};
constexpr std::array<std::string_view, 8> kRefusalNames = {
    "expired_token", "other_incarnation", "tombstone", "over_capacity",
    "paused",        "memory_full",       "leaving",   "stopped"};

// Longer durations are rejected as malformed.
constexpr std::uint64_t kMaxDurationUs = 1ULL << 50U;
constexpr std::uint64_t kMaxStatus = 999;

// Reads the fields of one object. After the first error ok() is false and all
// values read are meaningless.
class Reader {
 public:
  explicit Reader(const json::value& value) : object_(value.if_object()) {
    ok_ = object_ != nullptr;
  }

  bool ok() const { return ok_; }
  void Fail() { ok_ = false; }

  bool Has(std::string_view name) const {
    return object_ != nullptr && object_->contains(name);
  }

  std::string Text(std::string_view name) {
    const json::value* value = Find(name);
    if (value == nullptr || !value->is_string()) {
      Fail();
      return {};
    }
    return std::string(value->get_string());
  }

  std::uint64_t Number(std::string_view name) {
    const json::value* value = Find(name);
    if (value == nullptr) {
      return 0;
    }
    boost::system::error_code error;
    const auto number = value->to_number<std::uint64_t>(error);
    if (error) {
      Fail();
    }
    return number;
  }

  bool Flag(std::string_view name) {
    const json::value* value = Find(name);
    if (value == nullptr || !value->is_bool()) {
      Fail();
      return false;
    }
    return value->get_bool();
  }

  Duration Span(std::string_view name) {
    const std::uint64_t span = Number(name);
    if (span > kMaxDurationUs) {
      Fail();
      return {};
    }
    return Microseconds(static_cast<std::int64_t>(span));
  }

  template <typename Enum, std::size_t kSize>
  Enum Named(std::string_view name,
             const std::array<std::string_view, kSize>& names) {
    const std::string text = Text(name);
    for (std::size_t i = 0; i < kSize; ++i) {
      if (names.at(i) == text) {
        return static_cast<Enum>(i);
      }
    }
    Fail();
    return {};
  }

  // Reads a nested object with `read`, which returns none on error.
  template <typename Read>
  auto Nested(std::string_view name, Read read) {
    const json::value* value = Find(name);
    auto result = read(value == nullptr ? json::value() : *value);
    if (!result.has_value()) {
      Fail();
    }
    return std::move(result).value_or(typename decltype(result)::value_type());
  }

 private:
  const json::value* Find(std::string_view name) {
    const json::value* value = ok_ ? object_->if_contains(name) : nullptr;
    ok_ = value != nullptr;
    return value;
  }

  const json::object* object_;
  bool ok_ = false;
};

template <typename Message>
std::optional<Message> Checked(const Reader& reader, const Message& message) {
  std::optional<Message> checked;
  if (reader.ok()) {
    checked.emplace(message);
  }
  return checked;
}

std::uint64_t CountOf(Duration duration) {
  return static_cast<std::uint64_t>(
      std::max<Duration::rep>(duration.count(), 0));
}

json::object Write(const RequestKey& key) {
  return {{"workspace", key.workspace.value()},
          {"request", key.request.value()}};
}

std::optional<RequestKey> ReadKey(const json::value& value) {
  Reader in(value);
  RequestKey key{Workspace(in.Text("workspace")),
                 RequestId(in.Text("request"))};
  return Checked(in, key);
}

json::object Write(const Claimant& claimant) {
  return {{"entry", claimant.entry.value()},
          {"incarnation", claimant.incarnation.value()},
          {"number", claimant.number.value()}};
}

std::optional<Claimant> ReadClaimant(const json::value& value) {
  Reader in(value);
  Claimant claimant{NodeId(in.Text("entry")),
                    Incarnation(in.Number("incarnation")),
                    ClaimNumber(in.Number("number"))};
  return Checked(in, claimant);
}

json::object Write(const Takeover& takeover) {
  return {{"from", Write(takeover.from)},
          {"through", takeover.through.value()}};
}

std::optional<Takeover> ReadTakeover(const json::value& value) {
  Reader in(value);
  const Takeover takeover{in.Nested("from", ReadClaimant),
                          ClaimRound(in.Number("through"))};
  return Checked(in, takeover);
}

json::object Write(const AdmissionToken& token) {
  return {{"incarnation", token.incarnation.value()},
          {"generation", token.generation.value()},
          {"epoch", token.epoch.value()}};
}

std::optional<AdmissionToken> ReadToken(const json::value& value) {
  Reader in(value);
  const AdmissionToken token{Incarnation(in.Number("incarnation")),
                             TokenGeneration(in.Number("generation")),
                             Epoch(in.Number("epoch"))};
  return Checked(in, token);
}

json::object Write(const AttemptRef& attempt) {
  return {{"id", attempt.attempt.value()},
          {"target", attempt.target.value()},
          {"token", Write(attempt.token)}};
}

std::optional<AttemptRef> ReadAttempt(const json::value& value) {
  Reader in(value);
  AttemptRef attempt{AttemptId(in.Text("id")), TargetId(in.Text("target")),
                     in.Nested("token", ReadToken)};
  return Checked(in, attempt);
}

json::object Write(const Outcome& outcome) {
  json::object object{{"status", outcome.status}};
  if (outcome.body.has_value()) {
    object["body"] = *outcome.body;
  }
  return object;
}

std::optional<Outcome> ReadOutcome(const json::value& value) {
  Reader in(value);
  const std::uint64_t status = in.Number("status");
  if (status > kMaxStatus) {
    in.Fail();
  }
  Outcome outcome{static_cast<int>(status), std::nullopt};
  if (in.Has("body")) {
    outcome.body = in.Text("body");
  }
  return Checked(in, outcome);
}

json::object Write(const ClaimVerdict& verdict) {
  return std::visit(
      Overloaded{
          [](const ClaimGranted&) {
            return json::object{{"is", "granted"}};
          },
          [](const ClaimHeld& held) {
            json::object object{{"is", "held"},
                                {"claimant", Write(held.claimant)},
                                {"round", held.round.value()}};
            if (held.attempt.has_value()) {
              object["attempt"] = Write(*held.attempt);
            }
            return object;
          },
          [](const ClaimFinished& finished) {
            return json::object{{"is", "finished"},
                                {"outcome", Write(finished.outcome)}};
          },
          [](const ClaimAbstained& abstained) {
            return json::object{
                {"is", "abstained"},
                {"reason", ToString(abstained.reason)},
                {"retry_after_us", CountOf(abstained.retry_after)}};
          },
          [](const ClaimMismatch&) {
            return json::object{{"is", "mismatch"}};
          },
      },
      verdict);
}

ClaimHeld ReadHeld(Reader& in) {
  ClaimHeld held{in.Nested("claimant", ReadClaimant),
                 ClaimRound(in.Number("round")), std::nullopt};
  if (in.Has("attempt")) {
    held.attempt = in.Nested("attempt", ReadAttempt);
  }
  return held;
}

std::optional<ClaimVerdict> ReadVerdict(const json::value& value) {
  Reader in(value);
  const std::string is = in.Text("is");
  ClaimVerdict verdict;
  if (is == "granted") {
    verdict = ClaimGranted{};
  } else if (is == "held") {
    verdict = ReadHeld(in);
  } else if (is == "finished") {
    verdict = ClaimFinished{in.Nested("outcome", ReadOutcome)};
  } else if (is == "abstained") {
    verdict = ClaimAbstained{in.Named<AbstainReason>("reason", kAbstainNames),
                             in.Span("retry_after_us")};
  } else if (is == "mismatch") {
    verdict = ClaimMismatch{};
  } else {
    in.Fail();
  }
  return Checked(in, verdict);
}

json::object Write(const SettleState& state) {
  return std::visit(Overloaded{
                        [](const SettledNotRun&) {
                          return json::object{{"is", "never_will"}};
                        },
                        [](const SettledRunning&) {
                          return json::object{{"is", "running"}};
                        },
                        [](const SettledFinished& finished) {
                          return json::object{
                              {"is", "finished"},
                              {"outcome", Write(finished.outcome)}};
                        },
                        [](const SettledNotSeen&) {
                          return json::object{{"is", "not_seen"}};
                        },
                        [](const SettledUnknown&) {
                          return json::object{{"is", "unknown"}};
                        },
                    },
                    state);
}

std::optional<SettleState> ReadSettleState(const json::value& value) {
  Reader in(value);
  const std::string is = in.Text("is");
  SettleState state;
  if (is == "never_will") {
    state = SettledNotRun{};
  } else if (is == "running") {
    state = SettledRunning{};
  } else if (is == "finished") {
    state = SettledFinished{in.Nested("outcome", ReadOutcome)};
  } else if (is == "not_seen") {
    state = SettledNotSeen{};
  } else if (is == "unknown") {
    state = SettledUnknown{};
  } else {
    in.Fail();
  }
  return Checked(in, state);
}

}  // namespace

std::string_view ToString(AbstainReason reason) {
  return kAbstainNames.at(static_cast<std::size_t>(reason));
}

json::value ToJson(const ClaimRequest& message) {
  json::object object{{"key", Write(message.key)},
                      {"fingerprint", message.fingerprint.value()},
                      {"claimant", Write(message.claimant)},
                      {"round", message.round.value()},
                      {"roster", message.roster.value()}};
  if (message.attempt.has_value()) {
    object["attempt"] = Write(*message.attempt);
  }
  if (message.takeover.has_value()) {
    object["takeover"] = Write(*message.takeover);
  }
  return object;
}

json::value ToJson(const ClaimAnswer& message) {
  return json::object{{"key", Write(message.key)},
                      {"claimant", Write(message.claimant)},
                      {"round", message.round.value()},
                      {"holder", message.holder.value()},
                      {"verdict", Write(message.verdict)}};
}

json::value ToJson(const ReleaseClaim& message) {
  return json::object{{"key", Write(message.key)},
                      {"claimant", Write(message.claimant)},
                      {"round", message.round.value()},
                      {"closing", message.closing}};
}

json::value ToJson(const ReleaseAnswer& message) {
  return json::object{{"release", ToJson(message.release)},
                      {"holder", message.holder.value()},
                      {"released", message.released}};
}

json::value ToJson(const FinishClaim& message) {
  return json::object{{"key", Write(message.key)},
                      {"claimant", Write(message.claimant)},
                      {"outcome", Write(message.outcome)}};
}

json::value ToJson(const StartAttempt& message) {
  return json::object{{"attempt", Write(message.attempt)},
                      {"key", Write(message.key)},
                      {"entry", message.entry.value()},
                      {"offset", message.offset}};
}

json::value ToJson(const AttemptRefusal& message) {
  return json::object{
      {"attempt", message.attempt.value()},
      {"reason", kRefusalNames.at(static_cast<std::size_t>(message.reason))},
      {"never_ran", message.never_ran},
      {"token", Write(message.token)},
      {"retry_after_us", CountOf(message.retry_after)}};
}

json::value ToJson(const SettleRequest& message) {
  return json::object{{"attempt", Write(message.attempt)},
                      {"forbid", message.forbid}};
}

json::value ToJson(const SettleAnswer& message) {
  return json::object{{"attempt", message.attempt.value()},
                      {"state", Write(message.state)}};
}

template <>
std::optional<ClaimRequest> FromJson(const json::value& value) {
  Reader in(value);
  ClaimRequest message{in.Nested("key", ReadKey),
                       Fingerprint(in.Number("fingerprint")),
                       in.Nested("claimant", ReadClaimant),
                       ClaimRound(in.Number("round")),
                       std::nullopt,
                       RosterVersion(in.Number("roster")),
                       std::nullopt};
  if (in.Has("attempt")) {
    message.attempt = in.Nested("attempt", ReadAttempt);
  }
  if (in.Has("takeover")) {
    message.takeover = in.Nested("takeover", ReadTakeover);
  }
  return Checked(in, message);
}

template <>
std::optional<ClaimAnswer> FromJson(const json::value& value) {
  Reader in(value);
  ClaimAnswer message{in.Nested("key", ReadKey),
                      in.Nested("claimant", ReadClaimant),
                      ClaimRound(in.Number("round")), NodeId(in.Text("holder")),
                      in.Nested("verdict", ReadVerdict)};
  return Checked(in, message);
}

template <>
std::optional<ReleaseClaim> FromJson(const json::value& value) {
  Reader in(value);
  ReleaseClaim message{in.Nested("key", ReadKey),
                       in.Nested("claimant", ReadClaimant),
                       ClaimRound(in.Number("round")), in.Flag("closing")};
  return Checked(in, message);
}

template <>
std::optional<ReleaseAnswer> FromJson(const json::value& value) {
  Reader in(value);
  ReleaseAnswer message{in.Nested("release", FromJson<ReleaseClaim>),
                        NodeId(in.Text("holder")), in.Flag("released")};
  return Checked(in, message);
}

template <>
std::optional<FinishClaim> FromJson(const json::value& value) {
  Reader in(value);
  FinishClaim message{in.Nested("key", ReadKey),
                      in.Nested("claimant", ReadClaimant),
                      in.Nested("outcome", ReadOutcome)};
  return Checked(in, message);
}

template <>
std::optional<StartAttempt> FromJson(const json::value& value) {
  Reader in(value);
  StartAttempt message{in.Nested("attempt", ReadAttempt),
                       in.Nested("key", ReadKey), NodeId(in.Text("entry")),
                       in.Number("offset")};
  return Checked(in, message);
}

template <>
std::optional<AttemptRefusal> FromJson(const json::value& value) {
  Reader in(value);
  AttemptRefusal message{AttemptId(in.Text("attempt")),
                         in.Named<RefusalReason>("reason", kRefusalNames),
                         in.Flag("never_ran"), in.Nested("token", ReadToken),
                         in.Span("retry_after_us")};
  return Checked(in, message);
}

template <>
std::optional<SettleRequest> FromJson(const json::value& value) {
  Reader in(value);
  SettleRequest message{in.Nested("attempt", ReadAttempt), in.Flag("forbid")};
  return Checked(in, message);
}

template <>
std::optional<SettleAnswer> FromJson(const json::value& value) {
  Reader in(value);
  SettleAnswer message{AttemptId(in.Text("attempt")),
                       in.Nested("state", ReadSettleState)};
  return Checked(in, message);
}

}  // namespace bilberryspool::attempts
