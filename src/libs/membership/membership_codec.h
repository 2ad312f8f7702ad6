// JSON encoding of the membership messages. Messages are arrays of fixed order,
// as field names would double the bytes per node.

#ifndef LIBS_MEMBERSHIP_MEMBERSHIP_CODEC_H_
#define LIBS_MEMBERSHIP_MEMBERSHIP_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>

#include "libs/membership/announcement.h"
#include "libs/membership/gossip.h"

namespace bilberryspool::membership {

boost::json::value ToJson(const Announcement& announcement);
boost::json::value ToJson(const Heartbeat& heartbeat);
boost::json::value ToJson(const AnnounceReply& reply);
boost::json::value ToJson(const PeerMessage& message);

// Return nothing if the value is malformed; never throw.
std::optional<Announcement> AnnouncementFromJson(
    const boost::json::value& value);
std::optional<Heartbeat> HeartbeatFromJson(const boost::json::value& value);
std::optional<AnnounceReply> AnnounceReplyFromJson(
    const boost::json::value& value);
std::optional<PeerMessage> PeerMessageFromJson(const boost::json::value& value);

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_MEMBERSHIP_CODEC_H_
