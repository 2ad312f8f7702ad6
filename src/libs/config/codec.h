// JSON encoding of what the system's processes exchange and store: log entries,
// outcomes, deltas and full states. The decoders return none if the input is
// invalid.

#ifndef LIBS_CONFIG_CODEC_H_
#define LIBS_CONFIG_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

#include "libs/config/command.h"
#include "libs/config/configuration.h"
#include "libs/config/delta.h"
#include "libs/config/outcome.h"

namespace bilberryspool::config {

boost::json::value ToJson(const Command& command);
std::optional<Command> CommandFromJson(const boost::json::value& json);

boost::json::value ToJson(const Outcome& outcome);
std::optional<Outcome> OutcomeFromJson(const boost::json::value& json);

boost::json::value ToJson(const Delta& delta);
std::optional<Delta> DeltaFromJson(const boost::json::value& json);

// A full state contains its digest; decoding fails if the digest doesn't match.
boost::json::value ToJson(const Configuration& configuration);
std::optional<Configuration> ConfigurationFromJson(
    const boost::json::value& json);

std::string SerializeJson(const boost::json::value& json);

// The same as serialized bytes, for messages and log entries whose carriers
// don't decode them.
template <typename Value>
std::string ToBytes(const Value& value) {
  return SerializeJson(ToJson(value));
}
std::optional<Command> CommandFromBytes(std::string_view bytes);
std::optional<Delta> DeltaFromBytes(std::string_view bytes);
std::optional<Configuration> ConfigurationFromBytes(std::string_view bytes);

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_CODEC_H_
