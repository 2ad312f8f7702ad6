// News of targets for many askers, each made and packed once.
//
// Each gateway asks what has changed since the revision that it knows. Where
// hundreds ask while thousands of targets announce themselves, as after all
// control nodes were killed, an answer made for each costs a node of 0.15 of a
// core seconds: 3,000 records of 0.3 KB for 240 gateways are 216 MB. Askers are
// therefore told up to a revision that stays for a moment, so that few
// different answers are made, and the text is packed.
//
// Pure: the book and `now` in, a text out.

#ifndef PLUGINS_CONTROL_NODE_TARGET_UPDATES_H_
#define PLUGINS_CONTROL_NODE_TARGET_UPDATES_H_

#include <cstdint>
#include <map>

#include "libs/base/time.h"
#include "libs/packing/packed_text.h"
#include "libs/traffic/target_book.h"

namespace bilberryspool::control_node {

class TargetUpdates {
 public:
  struct Update {
    // What the asker knows once it has read this.
    std::uint64_t revision = 0;
    packing::PackedText targets;
  };

  // All that has changed in `book` since `from`, up to a revision that may be
  // as old as `freshness`, but is never one that the asker has already.
  Update ChangesSince(const traffic::TargetBook& book,
                      std::uint64_t from,
                      Duration freshness,
                      TimePoint now);

 private:
  std::uint64_t revision_ = 0;
  TimePoint taken_at_;
  // By `from`, up to `revision_`.
  std::map<std::uint64_t, packing::PackedText> updates_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_TARGET_UPDATES_H_
