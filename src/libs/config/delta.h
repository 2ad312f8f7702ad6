#ifndef LIBS_CONFIG_DELTA_H_
#define LIBS_CONFIG_DELTA_H_

#include <optional>
#include <vector>

#include "libs/base/ids.h"
#include "libs/config/configuration.h"
#include "libs/config/object_update.h"

namespace bilberryspool::config {

// Turns version `from` into version `to`. Contains the final state of each
// object that changed in between, but no intermediate states.
struct Delta {
  ConfigVersion from;
  ConfigVersion to;
  std::vector<ObjectUpdate> updates;
  // Digest of version `to`.
  Digest digest;

  bool operator==(const Delta&) const = default;
};

// Combines consecutive deltas, the oldest first, into one. None if `steps` is
// empty or a delta doesn't start at the version at which the previous one ends.
std::optional<Delta> CombineDeltas(const std::vector<Delta>& steps);

// The latest update of each object. The updates are passed from the latest to
// the earliest.
std::vector<ObjectUpdate> LatestUpdatePerObject(
    const std::vector<ObjectUpdate>& latest_first);

}  // namespace bilberryspool::config

#endif  // LIBS_CONFIG_DELTA_H_
