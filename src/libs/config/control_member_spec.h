#ifndef LIBS_CONFIG_CONTROL_MEMBER_SPEC_H_
#define LIBS_CONFIG_CONTROL_MEMBER_SPEC_H_

#include <string>

#include <boost/describe.hpp>

#include "libs/base/ids.h"

namespace bilberryspool::config {

// A learner has no vote yet; a leaving member is removed once its successor is
// a voter.
enum class MemberStanding { kVoter, kLearner, kLeaving };
BOOST_DESCRIBE_ENUM(MemberStanding, kVoter, kLearner, kLeaving)

// One control replica. The replicated log decides on its own membership; this
// is the last observed membership together with the replacements that operators
// requested.
struct ControlMemberSpec {
  using Key = NodeId;
  static constexpr const char* kKind = "member";

  NodeId node;
  std::string address;
  FailureDomain domain;
  MemberStanding standing = MemberStanding::kVoter;

  Key key() const { return node; }
  bool operator==(const ControlMemberSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(ControlMemberSpec, (), (node, address, domain, standing))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_CONTROL_MEMBER_SPEC_H_
