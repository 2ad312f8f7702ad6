#include "libs/membership/membership_codec.h"

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>
#include <vector>

#include "libs/base/overloaded.h"
#include "libs/membership/json_fields.h"
#include "libs/membership/message_fields.h"

namespace bilberryspool::membership {
namespace {

constexpr std::string_view kDigest = "digest";
constexpr std::string_view kDelta = "delta";
constexpr std::string_view kRequest = "request";
constexpr std::size_t kDeltaParts = 5;  // JSON array elements of a delta

template <typename Struct>
std::optional<Struct> FromJson(const boost::json::value& value) {
  Struct decoded;
  if (!internal::Decode(value, &decoded)) {
    return std::nullopt;
  }
  return decoded;
}

// Distinct origins of the rows of a delta.
class OriginTable {
 public:
  std::uint64_t IndexOf(const Stamp& stamp) {
    const auto same = [&](const Stamp& known) {
      return known.origin == stamp.origin &&
             known.incarnation == stamp.incarnation;
    };
    const auto found = std::find_if(origins_.begin(), origins_.end(), same);
    if (found != origins_.end()) {
      return static_cast<std::uint64_t>(found - origins_.begin());
    }
    origins_.push_back({stamp.origin, stamp.incarnation, 0});
    return origins_.size() - 1;
  }
  const std::vector<Stamp>& origins() const { return origins_; }

 private:
  std::vector<Stamp> origins_;
};

// Origin index and counter of each row, in the order of the rows.
template <typename Update>
std::vector<std::uint64_t> StampColumn(const std::vector<Update>& rows,
                                       OriginTable* origins) {
  std::vector<std::uint64_t> column;
  for (const Update& row : rows) {
    column.push_back(origins->IndexOf(row.stamp));
    column.push_back(row.stamp.count);
  }
  return column;
}

template <typename Update>
bool RestoreStamps(const std::vector<std::uint64_t>& column,
                   const std::vector<Stamp>& origins,
                   std::vector<Update>* rows) {
  if (column.size() != 2 * rows->size()) {
    return false;
  }
  std::size_t next = 0;
  for (Update& row : *rows) {
    const std::uint64_t origin = column[next];
    if (origin >= origins.size()) {
      return false;
    }
    row.stamp = origins[origin];
    row.stamp.count = column[next + 1];
    next += 2;
  }
  return true;
}

boost::json::value DeltaToJson(const GossipDelta& delta) {
  OriginTable origins;
  const auto announcement_stamps = StampColumn(delta.announcements, &origins);
  const auto heartbeat_stamps = StampColumn(delta.heartbeats, &origins);
  return boost::json::array{kDelta, internal::Encode(delta),
                            internal::Encode(origins.origins()),
                            internal::Encode(announcement_stamps),
                            internal::Encode(heartbeat_stamps)};
}

std::optional<PeerMessage> DeltaFromJson(const boost::json::array& array) {
  GossipDelta delta;
  std::vector<Stamp> origins;
  std::vector<std::uint64_t> announcement_stamps;
  std::vector<std::uint64_t> heartbeat_stamps;
  if (array.size() < kDeltaParts || !internal::Decode(array[1], &delta) ||
      !internal::Decode(array[2], &origins) ||
      !internal::Decode(array[3], &announcement_stamps) ||
      !internal::Decode(array[4], &heartbeat_stamps) ||
      !RestoreStamps(announcement_stamps, origins, &delta.announcements) ||
      !RestoreStamps(heartbeat_stamps, origins, &delta.heartbeats)) {
    return std::nullopt;
  }
  return delta;
}

}  // namespace

boost::json::value ToJson(const Announcement& announcement) {
  return internal::Encode(announcement);
}

boost::json::value ToJson(const Heartbeat& heartbeat) {
  return internal::Encode(heartbeat);
}

boost::json::value ToJson(const AnnounceReply& reply) {
  return internal::Encode(reply);
}

boost::json::value ToJson(const PeerMessage& message) {
  return std::visit(
      Overloaded{
          [](const GossipDigest& digest) -> boost::json::value {
            return boost::json::array{kDigest, internal::Encode(digest)};
          },
          [](const GossipDelta& delta) { return DeltaToJson(delta); },
          [](const AnnouncementRequest& request) -> boost::json::value {
            return boost::json::array{kRequest, internal::Encode(request)};
          }},
      message);
}

std::optional<Announcement> AnnouncementFromJson(
    const boost::json::value& value) {
  return FromJson<Announcement>(value);
}

std::optional<Heartbeat> HeartbeatFromJson(const boost::json::value& value) {
  return FromJson<Heartbeat>(value);
}

std::optional<AnnounceReply> AnnounceReplyFromJson(
    const boost::json::value& value) {
  return FromJson<AnnounceReply>(value);
}

std::optional<PeerMessage> PeerMessageFromJson(
    const boost::json::value& value) {
  const boost::json::array* array = value.if_array();
  if (array == nullptr || array->size() < 2 || !array->front().is_string()) {
    return std::nullopt;
  }
  const std::string_view kind = array->front().get_string();
  if (kind == kDelta) {
    return DeltaFromJson(*array);
  }
  if (kind == kDigest) {
    return FromJson<GossipDigest>((*array)[1]);
  }
  if (kind == kRequest) {
    return FromJson<AnnouncementRequest>((*array)[1]);
  }
  return std::nullopt;
}

}  // namespace bilberryspool::membership
