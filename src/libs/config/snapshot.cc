#include "libs/config/snapshot.h"

#include <set>
#include <utility>

#include "libs/config/codec.h"
#include "libs/config/json_value.h"

namespace bilberryspool::config {
BOOST_DESCRIBE_STRUCT(ChangeRecord,
                      (),
                      (version, operator_id, command, system, updates))
BOOST_DESCRIBE_STRUCT(CommandRecord, (), (id, index, body, outcome))

namespace {

using internal::JsonReader;
using internal::JsonWriter;

// The members of a snapshot besides the configuration.
struct SnapshotParts {
  std::uint64_t format = 0;
  LogIndex applied_index;
  FencingToken latest_token;
  std::vector<ChangeRecord> history;
  std::vector<CommandRecord> commands;
  LogIndex forgotten_up_to;
};
BOOST_DESCRIBE_STRUCT(
    SnapshotParts,
    (),
    (format, applied_index, latest_token, history, commands, forgotten_up_to))

// Returns false unless the records have consecutive versions that end at
// `latest`.
bool RestoreHistory(std::vector<ChangeRecord> records,
                    ConfigVersion latest,
                    ChangeHistory& history) {
  ConfigVersion expected = latest;
  for (auto record = records.rbegin(); record != records.rend(); ++record) {
    if (record->version != expected || expected == ConfigVersion()) {
      return false;
    }
    expected = ConfigVersion(expected.value() - 1);
  }
  for (ChangeRecord& record : records) {
    history.Add(std::move(record));
  }
  return true;
}

// Returns false if there are too many records or an id occurs twice.
bool RestoreCommands(std::vector<CommandRecord> records,
                     CommandTable& commands) {
  if (records.size() > CommandTable::kCapacity) {
    return false;
  }
  std::set<CommandId> seen;
  for (CommandRecord& record : records) {
    if (!seen.insert(record.id).second) {
      return false;
    }
    commands.Add(std::move(record));
  }
  return true;
}

}  // namespace

std::string WriteSnapshot(const StateMachineState& state) {
  const auto& history = state.history.records();
  const auto& commands = state.commands.records();
  const SnapshotParts parts{kSnapshotFormat,
                            state.applied_index,
                            state.latest_token,
                            {history.begin(), history.end()},
                            {commands.begin(), commands.end()},
                            state.commands.forgotten_up_to()};
  boost::json::value json = JsonWriter::Write(parts);
  json.as_object()["configuration"] = ToJson(state.configuration);
  return boost::json::serialize(json);
}

std::optional<StateMachineState> ReadSnapshot(std::string_view bytes) {
  boost::json::error_code error;
  const boost::json::value json = boost::json::parse(bytes, error);
  SnapshotParts parts;
  if (error || !JsonReader::Read(json, parts) || parts.format == 0 ||
      parts.format > kSnapshotFormat) {
    return std::nullopt;
  }
  const auto* configuration = json.as_object().if_contains("configuration");
  auto restored = configuration == nullptr
                      ? std::nullopt
                      : ConfigurationFromJson(*configuration);
  if (!restored.has_value()) {
    return std::nullopt;
  }
  StateMachineState state;
  state.applied_index = parts.applied_index;
  state.latest_token = parts.latest_token;
  state.configuration = std::move(*restored);
  if (!RestoreHistory(std::move(parts.history), state.configuration.version(),
                      state.history) ||
      !RestoreCommands(std::move(parts.commands), state.commands)) {
    return std::nullopt;
  }
  state.commands.set_forgotten_up_to(parts.forgotten_up_to);
  return state;
}

}  // namespace bilberryspool::config
