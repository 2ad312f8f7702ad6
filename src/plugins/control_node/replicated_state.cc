#include "plugins/control_node/replicated_state.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "libs/quarantine/quarantine_codec.h"

namespace bilberryspool::control_node {

namespace {

// Not numbers, unlike the start of a configuration command.
constexpr std::string_view kRefusals = "refusals\n";
constexpr std::string_view kEvacuation = "evacuation\n";
constexpr std::string_view kRoster = "roster\n";
constexpr std::string_view kDepartures = "departures\n";
// Separate the parts of a snapshot, which contain no line breaks.
constexpr std::string_view kRefusalsSeparator = "\nrefusals\n";
constexpr std::string_view kEvacuationsSeparator = "\nevacuations\n";
constexpr std::string_view kRosterSeparator = "\nroster\n";
constexpr std::string_view kDeparturesSeparator = "\ndepartures\n";

// Removes the part after the last `separator` from `bytes` and returns it; an
// empty part if there is none.
std::string_view TakePartAfter(std::string_view separator,
                               std::string_view& bytes) {
  const std::size_t at = bytes.rfind(separator);
  if (at == std::string_view::npos) {
    return {};
  }
  const std::string_view part = bytes.substr(at + separator.size());
  bytes = bytes.substr(0, at);
  return part;
}

}  // namespace

std::string ReplicatedState::ProposeRefusals(
    const std::vector<quarantine::QuarantineRecord>& records) {
  return std::string(kRefusals) +
         boost::json::serialize(quarantine::ToJson(records));
}

std::string ReplicatedState::ProposeEvacuation(
    const evacuation::EvacuationChange& change) {
  return std::string(kEvacuation) +
         evacuation::EvacuationRegistry::Encode(change);
}

std::string ReplicatedState::ProposeRoster(
    const cold_targets::GatewayRoster::Change& change) {
  return std::string(kRoster) + cold_targets::GatewayRoster::Encode(change);
}

std::string ReplicatedState::ProposeDepartures(
    const traffic::DepartureRegistry::Change& change) {
  return std::string(kDepartures) + traffic::DepartureRegistry::Encode(change);
}

ReplicatedState::Change ReplicatedState::Apply(std::string_view command) {
  if (command.starts_with(kRefusals)) {
    refusals_ = std::string(command.substr(kRefusals.size()));
    return Change::kRefusals;
  }
  if (command.starts_with(kEvacuation)) {
    const auto change = evacuation::EvacuationRegistry::Decode(
        command.substr(kEvacuation.size()));
    return change.has_value() && evacuations_.Apply(*change)
               ? Change::kEvacuations
               : Change::kNone;
  }
  if (command.starts_with(kRoster)) {
    return roster_.Apply(command.substr(kRoster.size())) ? Change::kRoster
                                                         : Change::kNone;
  }
  if (command.starts_with(kDepartures)) {
    return departures_.Apply(command.substr(kDepartures.size()))
               ? Change::kDepartures
               : Change::kNone;
  }
  return configuration_.Apply(command) ? Change::kConfiguration : Change::kNone;
}

std::string ReplicatedState::Export() const {
  std::string bytes = configuration_.Export();
  if (!refusals_.empty()) {
    bytes += kRefusalsSeparator;
    bytes += refusals_;
  }
  if (evacuations_.size() > 0) {
    bytes += kEvacuationsSeparator;
    bytes += evacuations_.Export();
  }
  if (roster_.size() > 0) {
    bytes += kRosterSeparator;
    bytes += roster_.Export();
  }
  if (departures_.revision() > 0) {
    bytes += kDeparturesSeparator;
    bytes += departures_.Export();
  }
  return bytes;
}

bool ReplicatedState::Import(std::string_view bytes) {
  const std::string_view departures =
      TakePartAfter(kDeparturesSeparator, bytes);
  const std::string_view roster = TakePartAfter(kRosterSeparator, bytes);
  const std::string_view evacuations =
      TakePartAfter(kEvacuationsSeparator, bytes);
  const std::string_view refusals = TakePartAfter(kRefusalsSeparator, bytes);
  evacuation::EvacuationRegistry read;
  traffic::DepartureRegistry read_departures;
  if ((!evacuations.empty() && !read.Import(evacuations)) ||
      (!departures.empty() && !read_departures.Import(departures)) ||
      !configuration_.Import(bytes)) {
    return false;
  }
  refusals_ = std::string(refusals);
  evacuations_ = std::move(read);
  departures_ = std::move(read_departures);
  roster_ = cold_targets::GatewayRoster();
  roster_.Apply(roster);
  return true;
}

std::vector<quarantine::QuarantineRecord> ReplicatedState::refusals() const {
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(refusals_, error);
  auto records = error ? std::nullopt : quarantine::RecordsFromJson(json);
  return records.value_or(std::vector<quarantine::QuarantineRecord>());
}

}  // namespace bilberryspool::control_node
