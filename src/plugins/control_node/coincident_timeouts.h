// Detects calls to several peers that time out at about the same time.
//
// The caller was then late itself, and the answers may have arrived unread, or
// it is cut off from all of them. Neither says anything about a single peer.
//
// Pure: takes `now`.

#ifndef PLUGINS_CONTROL_NODE_COINCIDENT_TIMEOUTS_H_
#define PLUGINS_CONTROL_NODE_COINCIDENT_TIMEOUTS_H_

#include <cstddef>
#include <map>
#include <string>

#include "libs/base/time.h"

namespace bilberryspool::control_node {

class CoincidentTimeouts {
 public:
  // Records a call to `peer` that has timed out. Returns whether calls to
  // several peers have.
  bool Add(const std::string& peer, TimePoint now) {
    timed_out_at_[peer] = now;
    std::erase_if(timed_out_at_, [now](const auto& item) {
      constexpr Duration kSameTime = Milliseconds(100);
      return now - item.second > kSameTime;
    });
    return timed_out_at_.size() >= kSeveral;
  }

 private:
  static constexpr std::size_t kSeveral = 4;

  std::map<std::string, TimePoint> timed_out_at_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_COINCIDENT_TIMEOUTS_H_
