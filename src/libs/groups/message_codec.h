// JSON encoding of the messages between controllers and ranks.
//
// All input is validated: the `FromJson` functions return nullopt for invalid
// input and never throw.

#ifndef LIBS_GROUPS_MESSAGE_CODEC_H_
#define LIBS_GROUPS_MESSAGE_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>

#include "libs/groups/group_message.h"

namespace bilberryspool::groups {

boost::json::value ToJson(const Order& order);
boost::json::value ToJson(const RankStatus& status);
boost::json::value ToJson(const RankMessage& message);
boost::json::value ToJson(const MapRecord& record);
boost::json::value ToJson(const placement::ExpertMap& map);

std::optional<Order> OrderFromJson(const boost::json::value& json);
std::optional<RankStatus> RankStatusFromJson(const boost::json::value& json);
std::optional<RankMessage> RankMessageFromJson(const boost::json::value& json);
std::optional<MapRecord> MapRecordFromJson(const boost::json::value& json);
std::optional<placement::ExpertMap> ExpertMapFromJson(
    const boost::json::value& json);

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_MESSAGE_CODEC_H_
