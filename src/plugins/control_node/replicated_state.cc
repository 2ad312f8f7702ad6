#include "plugins/control_node/replicated_state.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "libs/quarantine/quarantine_codec.h"

namespace bilberryspool::control_node {

namespace {

// Not a number, unlike the start of a configuration command.
constexpr std::string_view kRefusals = "refusals\n";
// Separates the refusals from the configuration in a snapshot; the packed text
// of the configuration contains no line break.
constexpr std::string_view kRefusalsSeparator = "\nrefusals\n";

}  // namespace

std::string ReplicatedState::ProposeRefusals(
    const std::vector<quarantine::QuarantineRecord>& records) {
  return std::string(kRefusals) +
         boost::json::serialize(quarantine::ToJson(records));
}

ReplicatedState::Change ReplicatedState::Apply(std::string_view command) {
  if (command.starts_with(kRefusals)) {
    refusals_ = std::string(command.substr(kRefusals.size()));
    return Change::kRefusals;
  }
  return configuration_.Apply(command) ? Change::kConfiguration : Change::kNone;
}

std::string ReplicatedState::Export() const {
  std::string bytes = configuration_.Export();
  if (!refusals_.empty()) {
    bytes += kRefusalsSeparator;
    bytes += refusals_;
  }
  return bytes;
}

bool ReplicatedState::Import(std::string_view bytes) {
  const std::size_t separator = bytes.find(kRefusalsSeparator);
  if (!configuration_.Import(bytes.substr(0, separator))) {
    return false;
  }
  refusals_ =
      separator == std::string_view::npos
          ? std::string()
          : std::string(bytes.substr(separator + kRefusalsSeparator.size()));
  return true;
}

std::vector<quarantine::QuarantineRecord> ReplicatedState::refusals() const {
  boost::system::error_code error;
  const boost::json::value json = boost::json::parse(refusals_, error);
  auto records = error ? std::nullopt : quarantine::RecordsFromJson(json);
  return records.value_or(std::vector<quarantine::QuarantineRecord>());
}

}  // namespace bilberryspool::control_node
