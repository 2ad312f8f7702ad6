// The controller of a group and the addresses of its ranks.

#ifndef LIBS_GROUPS_GROUP_CONTACTS_H_
#define LIBS_GROUPS_GROUP_CONTACTS_H_

#include <boost/json/value.hpp>
#include <map>
#include <optional>
#include <string>

#include "libs/base/ids.h"

namespace bilberryspool::groups {

// Sent repeatedly by the controller to every target that may hold a rank,
// because a rank that has just started knows neither its controller nor its
// peers. Contacts with a higher token replace those with a lower one.
struct GroupContacts {
  GroupId group;
  FencingToken token;
  std::string controller;                  // "ip:port"; receives statuses
  std::map<RankIndex, std::string> ranks;  // "ip:port" of their agents

  bool operator==(const GroupContacts&) const = default;
};

boost::json::value ToJson(const GroupContacts& contacts);
// Returns nullopt for invalid input.
std::optional<GroupContacts> GroupContactsFromJson(
    const boost::json::value& json);

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_GROUP_CONTACTS_H_
