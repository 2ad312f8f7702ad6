#ifndef LIBS_CONFIG_LEASE_SPEC_H_
#define LIBS_CONFIG_LEASE_SPEC_H_

#include <boost/describe.hpp>

#include "libs/base/ids.h"

namespace bilberryspool::config {

// The node that controls a group. Orders to the group's engines carry `token`;
// an order with a lower token comes from an earlier holder and is refused. As
// part of the configuration, the token also reaches an agent that lost its
// state in a restart. An empty `holder` means that the lease was released; the
// token is kept.
struct LeaseSpec {
  using Key = GroupId;
  static constexpr const char* kKind = "lease";

  GroupId group;
  NodeId holder;
  Incarnation incarnation;
  FencingToken token;

  Key key() const { return group; }
  bool operator==(const LeaseSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(LeaseSpec, (), (group, holder, incarnation, token))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_LEASE_SPEC_H_
