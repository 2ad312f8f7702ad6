#ifndef LIBS_CONFIG_DELTA_H_
#define LIBS_CONFIG_DELTA_H_

#include <optional>
#include <vector>

#include "libs/base/ids.h"
#include "libs/config/configuration.h"
#include "libs/config/object_update.h"

namespace bilberryspool::config {

// Turns version `from` into version `to`. It holds the last state of each
// object that changed in between, not the steps.
struct Delta {
  ConfigVersion from;
  ConfigVersion to;
  std::vector<ObjectUpdate> updates;
  // Of version `to`.
  Digest digest;

  bool operator==(const Delta&) const = default;
};

// One delta for several steps, the oldest first; none where one doesn't begin
// at the version at which the one before ends.
std::optional<Delta> CombineDeltas(const std::vector<Delta>& steps);

// Of updates given from the latest to the earliest, keeps the latest of each
// object.
std::vector<ObjectUpdate> LatestUpdatePerObject(
    const std::vector<ObjectUpdate>& latest_first);

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_DELTA_H_
