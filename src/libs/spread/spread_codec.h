// JSON encoding of the configuration messages: arrays in a fixed field order.

#ifndef LIBS_SPREAD_SPREAD_CODEC_H_
#define LIBS_SPREAD_SPREAD_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>

#include "libs/spread/spread_message.h"

namespace bilberryspool::spread {

boost::json::value ToJson(const DeltaMessage& message);
boost::json::value ToJson(const FullMessage& message);
boost::json::value ToJson(const HaveMessage& message);

// Return nullopt if the value is malformed; never throw.
std::optional<DeltaMessage> DeltaMessageFromJson(
    const boost::json::value& value);
std::optional<FullMessage> FullMessageFromJson(const boost::json::value& value);
std::optional<HaveMessage> HaveMessageFromJson(const boost::json::value& value);

}  // namespace bilberryspool::spread

#endif  // LIBS_SPREAD_SPREAD_CODEC_H_
