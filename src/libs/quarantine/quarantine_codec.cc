#include "libs/quarantine/quarantine_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>

#include "libs/base/json_reading.h"
#include "libs/base/overloaded.h"

namespace bilberryspool::quarantine {

namespace json = boost::json;
using json_reading::Flag;
using json_reading::Number;
using json_reading::Text;

namespace {

std::string_view NameOf(Verdict verdict) {
  switch (verdict) {
    case Verdict::kFree:
      return "free";
    case Verdict::kOneAtATime:
      return "one";
    case Verdict::kRefused:
      return "refused";
  }
  return "free";
}

std::optional<Verdict> VerdictFromName(std::string_view name) {
  for (const Verdict verdict :
       {Verdict::kFree, Verdict::kOneAtATime, Verdict::kRefused}) {
    if (NameOf(verdict) == name) {
      return verdict;
    }
  }
  return std::nullopt;
}

std::optional<RequestFingerprint> ReadRequest(const json::object& object) {
  const auto text = Text(object, "request");
  return text.has_value() ? RequestFingerprint::FromText(*text) : std::nullopt;
}

std::optional<Duration> ReadDuration(const json::object& object,
                                     std::string_view key) {
  const auto microseconds = Number(object, key);
  if (!microseconds.has_value()) {
    return std::nullopt;
  }
  return Microseconds(static_cast<std::int64_t>(*microseconds));
}

std::optional<QuarantineRecord> ReadRecord(const json::object& object) {
  const auto request = ReadRequest(object);
  const auto service = Text(object, "service");
  const auto name = Text(object, "verdict");
  const auto verdict = name.has_value() ? VerdictFromName(*name) : std::nullopt;
  const auto terminations = Number(object, "ends");
  const auto since = ReadDuration(object, "since_us");
  const auto remaining = ReadDuration(object, "remaining_us");
  if (!request || !service || !verdict || !terminations || !since ||
      !remaining) {
    return std::nullopt;
  }
  QuarantineRecord record;
  record.request = *request;
  record.service = ServiceId(*service);
  record.verdict = *verdict;
  record.terminations = static_cast<std::uint32_t>(*terminations);
  record.since = *since;
  record.remaining = *remaining;
  return record;
}

json::object ToObject(const Observation& observation) {
  return std::visit(
      Overloaded{
          [](const TerminationObserved& end) {
            return json::object{{"kind", "end"},
                                {"request", end.request.ToText()},
                                {"carrier", end.carrier.ToText()},
                                {"service", end.service.value()},
                                {"target", end.run.target.value()},
                                {"incarnation", end.run.incarnation.value()},
                                {"had_leave", end.was_permitted},
                                {"age_us", end.age.count()}};
          },
          [](const CompletionObserved& completion) {
            return json::object{{"kind", "completion"},
                                {"request", completion.request.ToText()},
                                {"age_us", completion.age.count()}};
          },
          [](const ReleaseOrdered& release) {
            return json::object{{"kind", "release"},
                                {"request", release.request.ToText()},
                                {"age_us", release.age.count()}};
          },
          [](const TrialOver& over) {
            return json::object{{"kind", "trial_over"},
                                {"request", over.request.ToText()},
                                {"asker", over.requester}};
          },
      },
      observation);
}

std::optional<Observation> ReadObservation(const json::object& object) {
  const auto kind = Text(object, "kind");
  const auto request = ReadRequest(object);
  if (!kind || !request) {
    return std::nullopt;
  }
  if (*kind == "trial_over") {
    const auto requester = Text(object, "asker");
    return requester
               ? std::optional<Observation>(TrialOver{*request, *requester})
               : std::nullopt;
  }
  const auto age = ReadDuration(object, "age_us");
  if (*kind == "completion" && age) {
    return CompletionObserved{*request, *age};
  }
  if (*kind == "release" && age) {
    return ReleaseOrdered{*request, *age};
  }
  const auto carrier_text = Text(object, "carrier");
  const auto carrier = carrier_text.has_value()
                           ? RequestFingerprint::FromText(*carrier_text)
                           : std::nullopt;
  const auto service = Text(object, "service");
  const auto target = Text(object, "target");
  const auto incarnation = Number(object, "incarnation");
  const auto was_permitted = Flag(object, "had_leave");
  if (*kind != "end" || !age || !carrier || !service || !target ||
      !incarnation || !was_permitted) {
    return std::nullopt;
  }
  return TerminationObserved{*request,
                             *carrier,
                             ServiceId(*service),
                             {TargetId(*target), Incarnation(*incarnation)},
                             *was_permitted,
                             *age};
}

}  // namespace

json::value ToJson(const std::vector<QuarantineRecord>& records) {
  json::array array;
  for (const QuarantineRecord& record : records) {
    array.push_back(json::object{{"request", record.request.ToText()},
                                 {"service", record.service.value()},
                                 {"verdict", NameOf(record.verdict)},
                                 {"ends", record.terminations},
                                 {"since_us", record.since.count()},
                                 {"remaining_us", record.remaining.count()}});
  }
  return array;
}

json::value ToJson(const std::vector<Observation>& observations) {
  json::array array;
  for (const Observation& observation : observations) {
    array.push_back(ToObject(observation));
  }
  return array;
}

std::optional<std::vector<QuarantineRecord>> RecordsFromJson(
    const json::value& value) {
  return json_reading::ReadObjects<QuarantineRecord>(value, ReadRecord);
}

std::optional<std::vector<Observation>> ObservationsFromJson(
    const json::value& value) {
  return json_reading::ReadObjects<Observation>(value, ReadObservation);
}

}  // namespace bilberryspool::quarantine
