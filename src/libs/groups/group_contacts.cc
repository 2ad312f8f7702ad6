#include "libs/groups/group_contacts.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "libs/groups/json_reader.h"

namespace bilberryspool::groups {

namespace json = boost::json;

json::value ToJson(const GroupContacts& contacts) {
  json::array ranks;
  for (const auto& [rank, address] : contacts.ranks) {
    ranks.push_back({{"rank", rank.value()}, {"address", address}});
  }
  return json::object{{"group", contacts.group.value()},
                      {"token", contacts.token.value()},
                      {"controller", contacts.controller},
                      {"ranks", std::move(ranks)}};
}

std::optional<GroupContacts> GroupContactsFromJson(const json::value& json) {
  internal::JsonReader reader(json);
  GroupContacts contacts;
  contacts.group = GroupId(reader.Text("group"));
  contacts.token = reader.NumberAs<FencingToken>("token");
  contacts.controller = reader.Text("controller");
  const auto* object = json.if_object();
  const auto* ranks =
      object == nullptr ? nullptr : object->if_contains("ranks");
  if (!reader.good() || ranks == nullptr || !ranks->is_array()) {
    return std::nullopt;
  }
  for (const json::value& item : ranks->as_array()) {
    internal::JsonReader each(item);
    const RankIndex rank = each.Rank("rank");
    contacts.ranks[rank] = each.Text("address");
    if (!each.good()) {
      return std::nullopt;
    }
  }
  return contacts;
}

}  // namespace bilberryspool::groups
