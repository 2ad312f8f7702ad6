#ifndef LIBS_CONFIG_TARGET_SELECTOR_H_
#define LIBS_CONFIG_TARGET_SELECTOR_H_

#include <compare>
#include <string>
#include <variant>

#include <boost/describe.hpp>

#include "libs/base/ids.h"

namespace bilberryspool::config {

// Selects every target.
struct AnyTarget {
  auto operator<=>(const AnyTarget&) const = default;
};
BOOST_DESCRIBE_STRUCT(AnyTarget, (), ())

// Selects one target by its id, the targets of a failure domain, or all
// targets. In the placement of a service it selects only targets of that
// service's kind.
using TargetSelector = std::variant<TargetId, FailureDomain, AnyTarget>;

// Formats a selector, such as "target t1", "domain sahab" or "any".
std::string ToString(const TargetSelector& selector);

bool Selects(const TargetSelector& selector,
             const TargetId& target,
             const FailureDomain& domain);

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_TARGET_SELECTOR_H_
