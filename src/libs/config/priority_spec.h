#ifndef LIBS_CONFIG_PRIORITY_SPEC_H_
#define LIBS_CONFIG_PRIORITY_SPEC_H_

#include <cstdint>

#include <boost/describe.hpp>

#include "libs/base/ids.h"

namespace bilberryspool::config {

using PriorityName = StringId<struct PriorityNameTag>;

// A named priority; work with a higher level is scheduled first.
struct PrioritySpec {
  using Key = PriorityName;
  static constexpr const char* kKind = "priority";

  PriorityName name;
  std::uint32_t level = 0;

  Key key() const { return name; }
  bool operator==(const PrioritySpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(PrioritySpec, (), (name, level))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_PRIORITY_SPEC_H_
