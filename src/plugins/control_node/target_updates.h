// Updates of targets for many requesters, each created and compressed once.
//
// Each gateway requests the changes since the revision that it knows. When
// hundreds of gateways do so while thousands of targets announce themselves, as
// after all control nodes were killed, a separate answer for each takes seconds
// on 0.15 of a core: 3,000 records of 0.3 KB for 240 gateways are 216 MB.
// Requesters therefore get updates up to a revision that is kept for a short
// time, so that there are few different answers, and the text is compressed.
//
// Pure: takes the registry and `now`, returns a text.

#ifndef PLUGINS_CONTROL_NODE_TARGET_UPDATES_H_
#define PLUGINS_CONTROL_NODE_TARGET_UPDATES_H_

#include <cstdint>
#include <map>

#include "libs/base/time.h"
#include "libs/packing/packed_text.h"
#include "libs/traffic/target_registry.h"

namespace bilberryspool::control_node {

class TargetUpdates {
 public:
  struct Update {
    // The revision that the requester has after reading this update.
    std::uint64_t revision = 0;
    packing::PackedText targets;
  };

  // Returns all changes in `registry` since `from`, up to a revision that may
  // be as old as `freshness`, but is newer than `from` whenever `registry` is.
  Update ChangesSince(const traffic::TargetRegistry& registry,
                      std::uint64_t from,
                      Duration freshness,
                      TimePoint now);

 private:
  std::uint64_t revision_ = 0;
  TimePoint taken_at_;
  // By `from`; each update ends at `revision_`.
  std::map<std::uint64_t, packing::PackedText> updates_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_TARGET_UPDATES_H_
