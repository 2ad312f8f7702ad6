#ifndef LIBS_CONFIG_TYPE_NAME_H_
#define LIBS_CONFIG_TYPE_NAME_H_

#include <string>

#include "libs/config/change.h"
#include "libs/config/object_update.h"
#include "libs/config/outcome.h"

namespace bilberryspool::config::internal {

// Names of the alternatives of a variant, used as "type" in JSON and to
// distinguish the alternatives in fingerprints. Unlike their indices, the names
// stay the same when alternatives are added.
template <typename Alternative>
struct TypeName;

#define BILBERRYSPOOL_TYPE_NAME(Type, text)       \
  template <>                                     \
  struct TypeName<Type> {                         \
    static std::string Value() { return (text); } \
  };
BILBERRYSPOOL_TYPE_NAME(TargetId, "target")
BILBERRYSPOOL_TYPE_NAME(FailureDomain, "domain")
BILBERRYSPOOL_TYPE_NAME(AnyTarget, "any")
BILBERRYSPOOL_TYPE_NAME(ReplaceControlMember, "replace-member")
BILBERRYSPOOL_TYPE_NAME(CancelReplacement, "cancel-replacement")
BILBERRYSPOOL_TYPE_NAME(ObserveControlMembers, "observe-members")
BILBERRYSPOOL_TYPE_NAME(GrantLease, "grant-lease")
BILBERRYSPOOL_TYPE_NAME(ReleaseLease, "release-lease")
BILBERRYSPOOL_TYPE_NAME(RecordMap, "record-map")
BILBERRYSPOOL_TYPE_NAME(Accepted, "accepted")
BILBERRYSPOOL_TYPE_NAME(Refused, "refused")
#undef BILBERRYSPOOL_TYPE_NAME

template <typename Spec>
struct TypeName<Declare<Spec>> {
  static std::string Value() { return std::string("declare-") + Spec::kKind; }
};
template <typename Spec>
struct TypeName<Remove<Spec>> {
  static std::string Value() { return std::string("remove-") + Spec::kKind; }
};
template <typename Spec>
struct TypeName<Update<Spec>> {
  static std::string Value() { return Spec::kKind; }
};

}  // namespace bilberryspool::config::internal

#endif  // LIBS_CONFIG_TYPE_NAME_H_
