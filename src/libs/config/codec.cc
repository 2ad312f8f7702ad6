#include "libs/config/codec.h"

#include <utility>

#include "libs/config/json_value.h"

namespace bilberryspool::config {
namespace {

using internal::JsonReader;
using internal::JsonWriter;

template <typename Value>
std::optional<Value> ReadAs(const boost::json::value& json) {
  Value value{};
  if (!JsonReader::Read(json, value)) {
    return std::nullopt;
  }
  return value;
}

template <typename Value>
bool ReadMember(const boost::json::value& json,
                const char* name,
                Value& value) {
  const auto* object = json.if_object();
  const auto* member = object == nullptr ? nullptr : object->if_contains(name);
  return member != nullptr && JsonReader::Read(*member, value);
}

// Returns null, which no type can be decoded from, if the bytes aren't JSON.
boost::json::value Parse(std::string_view bytes) {
  boost::json::error_code error;
  boost::json::value json = boost::json::parse(bytes, error);
  return error ? boost::json::value() : json;
}

}  // namespace

boost::json::value ToJson(const Command& command) {
  return JsonWriter::Write(command);
}

std::optional<Command> CommandFromJson(const boost::json::value& json) {
  return ReadAs<Command>(json);
}

boost::json::value ToJson(const Outcome& outcome) {
  return JsonWriter::Write(outcome);
}

std::optional<Outcome> OutcomeFromJson(const boost::json::value& json) {
  return ReadAs<Outcome>(json);
}

boost::json::value ToJson(const Delta& delta) {
  return boost::json::object{{"from", delta.from.value()},
                             {"to", delta.to.value()},
                             {"updates", JsonWriter::Write(delta.updates)},
                             {"digest", delta.digest.value()}};
}

std::optional<Delta> DeltaFromJson(const boost::json::value& json) {
  Delta delta;
  const bool read = ReadMember(json, "from", delta.from) &&
                    ReadMember(json, "to", delta.to) &&
                    ReadMember(json, "updates", delta.updates) &&
                    ReadMember(json, "digest", delta.digest);
  if (!read || delta.to < delta.from) {
    return std::nullopt;
  }
  return delta;
}

boost::json::value ToJson(const Configuration& configuration) {
  boost::json::array objects;
  configuration.ForEachTable([&](const auto& table) {
    for (const auto& [key, entry] : table) {
      using Spec = std::decay_t<decltype(entry.spec)>;
      const ObjectUpdate update = Update<Spec>{key, entry};
      objects.push_back(JsonWriter::Write(update));
    }
  });
  return boost::json::object{{"version", configuration.version().value()},
                             {"objects", std::move(objects)},
                             {"digest", configuration.digest().value()}};
}

std::optional<Configuration> ConfigurationFromJson(
    const boost::json::value& json) {
  ConfigVersion version;
  std::vector<ObjectUpdate> objects;
  Digest digest;
  if (!ReadMember(json, "version", version) ||
      !ReadMember(json, "objects", objects) ||
      !ReadMember(json, "digest", digest)) {
    return std::nullopt;
  }
  Configuration configuration;
  configuration.set_version(version);
  for (const ObjectUpdate& object : objects) {
    configuration.Apply(object);
  }
  if (configuration.digest() != digest) {
    return std::nullopt;
  }
  return configuration;
}

std::string SerializeJson(const boost::json::value& json) {
  return boost::json::serialize(json);
}

std::optional<Command> CommandFromBytes(std::string_view bytes) {
  return CommandFromJson(Parse(bytes));
}

std::optional<Delta> DeltaFromBytes(std::string_view bytes) {
  return DeltaFromJson(Parse(bytes));
}

std::optional<Configuration> ConfigurationFromBytes(std::string_view bytes) {
  return ConfigurationFromJson(Parse(bytes));
}

}  // namespace bilberryspool::config
