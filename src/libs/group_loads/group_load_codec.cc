#include "libs/group_loads/group_load_codec.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <string>
#include <string_view>

#include "libs/base/json_reading.h"

namespace bilberryspool::group_loads {

namespace json = boost::json;
using json_reading::Flag;
using json_reading::Number;
using json_reading::Text;

namespace {

constexpr std::string_view kDigits = "0123456789abcdefghijklmnopqrstuvwxyz";

std::optional<GroupLoad> LoadFromJson(const json::value& json) {
  const json::object* object = json.if_object();
  if (object == nullptr) {
    return std::nullopt;
  }
  const auto group = Text(*object, "group");
  const auto service = Text(*object, "service");
  const auto is_open = Flag(*object, "open");
  const auto room = Number(*object, "room");
  const auto ranks = Text(*object, "ranks");
  if (!group || !service || !is_open || !room || !ranks) {
    return std::nullopt;
  }
  GroupLoad load{GroupId(*group),
                 ServiceId(*service),
                 *is_open,
                 static_cast<std::uint32_t>(*room),
                 {}};
  for (const char digit : *ranks) {
    const std::size_t value = kDigits.find(digit);
    if (value == std::string_view::npos) {
      return std::nullopt;
    }
    load.by_rank.push_back(static_cast<std::uint32_t>(value));
  }
  return load;
}

}  // namespace

json::value ToJson(const std::vector<GroupLoad>& loads) {
  json::array array;
  for (const GroupLoad& load : loads) {
    std::string ranks;
    for (const std::uint32_t requests : load.by_rank) {
      ranks += kDigits[std::min(requests, kMaxWrittenRankLoad)];
    }
    array.push_back(json::object{{"group", load.group.value()},
                                 {"service", load.service.value()},
                                 {"open", load.is_open},
                                 {"room", load.room},
                                 {"ranks", ranks}});
  }
  return array;
}

std::optional<std::vector<GroupLoad>> LoadsFromJson(const json::value& json) {
  const json::array* array = json.if_array();
  if (array == nullptr) {
    return std::nullopt;
  }
  std::vector<GroupLoad> loads;
  for (const json::value& item : *array) {
    auto load = LoadFromJson(item);
    if (!load.has_value()) {
      return std::nullopt;
    }
    loads.push_back(std::move(*load));
  }
  return loads;
}

}  // namespace bilberryspool::group_loads
