#ifndef LIBS_CONFIG_PLACEMENT_SPEC_H_
#define LIBS_CONFIG_PLACEMENT_SPEC_H_

#include <tuple>

#include <boost/describe.hpp>

#include "libs/base/ids.h"
#include "libs/config/target_selector.h"

namespace bilberryspool::config {

struct PlacementKey {
  ServiceId service;
  TargetSelector targets;

  bool operator==(const PlacementKey&) const = default;
  bool operator<(const PlacementKey& other) const {
    return std::tie(service, targets) < std::tie(other.service, other.targets);
  }
};
BOOST_DESCRIBE_STRUCT(PlacementKey, (), (service, targets))

// Allows the selected targets to serve a service.
struct PlacementSpec {
  using Key = PlacementKey;
  static constexpr const char* kKind = "placement";

  ServiceId service;
  TargetSelector targets;

  Key key() const { return {service, targets}; }
  bool operator==(const PlacementSpec&) const = default;
};
BOOST_DESCRIBE_STRUCT(PlacementSpec, (), (service, targets))

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_PLACEMENT_SPEC_H_
