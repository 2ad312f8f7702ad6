#include "libs/config/target_selector.h"

#include "libs/base/overloaded.h"

namespace bilberryspool::config {

std::string ToString(const TargetSelector& selector) {
  return std::visit(
      Overloaded{[](const TargetId& id) { return "target " + id.value(); },
                 [](const FailureDomain& domain) {
                   return "domain " + domain.value();
                 },
                 [](const AnyTarget&) { return std::string("any"); }},
      selector);
}

bool Selects(const TargetSelector& selector,
             const TargetId& target,
             const FailureDomain& domain) {
  return std::visit(
      Overloaded{[&](const TargetId& id) { return id == target; },
                 [&](const FailureDomain& id) { return id == domain; },
                 [](const AnyTarget&) { return true; }},
      selector);
}

}  // namespace bilberryspool::config
