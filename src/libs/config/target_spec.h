#ifndef LIBS_CONFIG_TARGET_SPEC_H_
#define LIBS_CONFIG_TARGET_SPEC_H_

#include <boost/describe.hpp>

#include "libs/base/ids.h"

namespace bilberryspool::config {

// Properties of a target that operators declare. The target itself announces
// that it exists.
struct TargetSpec {
  using Key = TargetId;
  static constexpr const char* kKind = "target";

  TargetId id;
  // Whether the engine refuses orders with an old fencing token. If false, it
  // executes them as well.
  bool checks_fencing = false;

  Key key() const { return id; }
  bool operator==(const TargetSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(TargetSpec, (), (id, checks_fencing))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_TARGET_SPEC_H_
