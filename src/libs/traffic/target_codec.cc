#include "libs/traffic/target_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/json_reading.h"

namespace bilberryspool::traffic {

namespace json = boost::json;
using json_reading::Flag;
using json_reading::Number;
using json_reading::Text;

namespace {

std::optional<GroupMembership> GroupFromJson(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto name = Text(*object, "name");
  const auto epoch = Number(*object, "epoch");
  const auto rank = Number(*object, "rank");
  const auto size = Number(*object, "size");
  const auto is_open = Flag(*object, "open");
  if (!name || !epoch || !rank || !size || !is_open) {
    return std::nullopt;
  }
  return GroupMembership{GroupId(*name), *epoch,
                         static_cast<std::uint32_t>(*rank),
                         static_cast<std::uint32_t>(*size), *is_open};
}

}  // namespace

json::value ToJson(const TargetRecord& record) {
  const TargetAnnouncement& target = record.announcement;
  json::object object{
      {"target", target.target.value()},
      {"service", target.service.value()},
      {"address", target.address},
      {"domain", target.domain.value()},
      {"slots", target.slots},
      {"standing", static_cast<int>(target.standing)},
      {"incarnation", target.incarnation.value()},
      {"sequence", target.sequence},
      {"silent", record.is_silent},
  };
  if (target.is_cold) {
    object["cold"] = true;
  }
  if (target.group.has_value()) {
    object["group"] = {
        {"name", target.group->group.value()}, {"epoch", target.group->epoch},
        {"rank", target.group->rank},          {"size", target.group->size},
        {"open", target.group->is_open},
    };
  }
  return object;
}

std::optional<TargetRecord> TargetRecordFromJson(const json::value& value) {
  const json::object* object = value.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto target = Text(*object, "target");
  const auto service = Text(*object, "service");
  const auto address = Text(*object, "address");
  const auto domain = Text(*object, "domain");
  const auto slots = Number(*object, "slots");
  const auto standing = Number(*object, "standing");
  const auto sequence = Number(*object, "sequence");
  // Nodes of an earlier version don't send it.
  const auto incarnation = object->contains("incarnation")
                               ? Number(*object, "incarnation")
                               : std::optional<std::uint64_t>(0);
  const auto is_silent = Flag(*object, "silent");
  constexpr auto kLastStanding = static_cast<std::uint64_t>(Standing::kGone);
  if (!target || !service || !address || !domain || !slots || !standing ||
      *standing > kLastStanding || !sequence || !incarnation || !is_silent) {
    return std::nullopt;
  }
  TargetRecord record;
  record.announcement = {TargetId(*target),
                         Incarnation(*incarnation),
                         ServiceId(*service),
                         *address,
                         FailureDomain(*domain),
                         static_cast<std::uint32_t>(*slots),
                         static_cast<Standing>(*standing),
                         *sequence,
                         std::nullopt};
  record.is_silent = *is_silent;
  record.announcement.is_cold = Flag(*object, "cold").value_or(false);
  if (const json::value* group = object->if_contains("group")) {
    record.announcement.group = GroupFromJson(*group);
    if (!record.announcement.group.has_value()) {
      return std::nullopt;
    }
  }
  return record;
}

packing::PackedText PackTargets(const std::vector<TargetRecord>& records) {
  // In bytes; about three records. Below this size the frame and base64 take up
  // what compression saves.
  constexpr std::size_t kWorthPacking = 1024;
  json::array array;
  for (const TargetRecord& record : records) {
    array.push_back(ToJson(record));
  }
  std::string text = json::serialize(array);
  return text.size() < kWorthPacking ? packing::PackedText{std::move(text)}
                                     : packing::Pack(text);
}

std::optional<std::vector<TargetRecord>> UnpackTargets(
    const packing::PackedText& packed) {
  const auto text = packing::Unpack(packed);
  if (!text.has_value()) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const json::value value = json::parse(*text, error);
  const json::array* array = error ? nullptr : value.if_array();
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<TargetRecord> records;
  for (const json::value& item : *array) {
    auto record = TargetRecordFromJson(item);
    if (!record.has_value()) {
      return std::nullopt;
    }
    records.push_back(std::move(*record));
  }
  return records;
}

}  // namespace bilberryspool::traffic
