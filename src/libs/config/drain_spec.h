#ifndef LIBS_CONFIG_DRAIN_SPEC_H_
#define LIBS_CONFIG_DRAIN_SPEC_H_

#include <boost/describe.hpp>

#include "libs/config/target_selector.h"

namespace bilberryspool::config {

// Excludes the selected targets from new work.
struct DrainSpec {
  using Key = TargetSelector;
  static constexpr const char* kKind = "drain";

  TargetSelector targets;

  Key key() const { return targets; }
  bool operator==(const DrainSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(DrainSpec, (), (targets))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_DRAIN_SPEC_H_
