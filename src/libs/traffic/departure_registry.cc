#include "libs/traffic/departure_registry.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

#include "libs/base/json_reading.h"

namespace bilberryspool::traffic {

namespace json = boost::json;
using json_reading::List;
using json_reading::Number;
using json_reading::ParseObject;
using json_reading::Text;

namespace {

// Bounds the size of snapshots to a few MB.
constexpr std::size_t kMaxDepartures = 10'000;
constexpr std::size_t kMaxTargetNameBytes = 256;

json::object RunToJson(const TargetRun& run) {
  return {{"target", run.target.value()},
          {"incarnation", run.incarnation.value()}};
}

std::optional<TargetRun> RunFromJson(const json::object& object) {
  const auto target = Text(object, "target");
  const auto incarnation = Number(object, "incarnation");
  if (!target || !IsRecordable(TargetId(*target)) || !incarnation) {
    return std::nullopt;
  }
  return TargetRun{TargetId(*target), Incarnation(*incarnation)};
}

}  // namespace

bool IsRecordable(const TargetId& target) {
  const std::string& name = target.value();
  return !name.empty() && name.size() <= kMaxTargetNameBytes &&
         std::all_of(name.begin(), name.end(),
                     [](char byte) { return byte > ' ' && byte <= '~'; });
}

std::string DepartureRegistry::Encode(const Change& change) {
  json::array runs;
  for (const TargetRun& run : change.runs) {
    runs.push_back(RunToJson(run));
  }
  return json::serialize(json::object{{"runs", std::move(runs)},
                                      {"remove_up_to", change.remove_up_to}});
}

bool DepartureRegistry::Apply(std::string_view encoded) {
  const auto object = ParseObject(encoded);
  if (!object.has_value()) {
    return false;
  }
  const json::array* items = List(*object, "runs");
  const auto remove_up_to = Number(*object, "remove_up_to");
  if (items == nullptr || !remove_up_to) {
    return false;
  }
  std::vector<TargetRun> runs;
  for (const json::value& item : *items) {
    const json::object* entry = item.if_object();
    const auto run = entry == nullptr ? std::nullopt : RunFromJson(*entry);
    if (!run.has_value()) {
      return false;
    }
    runs.push_back(*run);
  }
  RemoveUpTo(*remove_up_to);
  const std::uint64_t before = revision_;
  for (const TargetRun& run : runs) {
    if (!Contains(run)) {
      Add(run, ++revision_);
    }
  }
  return revision_ > before;
}

std::vector<TargetRun> DepartureRegistry::AddedAfter(
    std::uint64_t revision) const {
  std::vector<TargetRun> added;
  for (auto it = by_revision_.upper_bound(revision); it != by_revision_.end();
       ++it) {
    added.push_back(it->second);
  }
  return added;
}

std::optional<std::uint64_t> DepartureRegistry::first_revision() const {
  return by_revision_.empty() ? std::nullopt
                              : std::optional(by_revision_.begin()->first);
}

void DepartureRegistry::Add(const TargetRun& run, std::uint64_t revision) {
  revisions_[run] = revision;
  by_revision_[revision] = run;
  while (by_revision_.size() > kMaxDepartures) {
    RemoveUpTo(by_revision_.begin()->first);
  }
}

void DepartureRegistry::RemoveUpTo(std::uint64_t revision) {
  const auto end = by_revision_.upper_bound(revision);
  for (auto it = by_revision_.begin(); it != end; ++it) {
    revisions_.erase(it->second);
  }
  by_revision_.erase(by_revision_.begin(), end);
}

std::string DepartureRegistry::Export() const {
  json::array departures;
  for (const auto& [revision, run] : by_revision_) {
    json::object departure = RunToJson(run);
    departure["revision"] = revision;
    departures.push_back(std::move(departure));
  }
  return json::serialize(json::object{{"revision", revision_},
                                      {"departures", std::move(departures)}});
}

bool DepartureRegistry::Import(std::string_view text) {
  const auto object = ParseObject(text);
  if (!object.has_value()) {
    return false;
  }
  const auto revision = Number(*object, "revision");
  const json::array* departures = List(*object, "departures");
  if (!revision || departures == nullptr) {
    return false;
  }
  DepartureRegistry read;
  for (const json::value& item : *departures) {
    const json::object* departure = item.if_object();
    if (departure == nullptr) {
      return false;
    }
    const auto run = RunFromJson(*departure);
    const auto added_at = Number(*departure, "revision");
    if (!run || !added_at || *added_at > *revision) {
      return false;
    }
    read.Add(*run, *added_at);
  }
  read.revision_ = *revision;
  *this = std::move(read);
  return true;
}

}  // namespace bilberryspool::traffic
