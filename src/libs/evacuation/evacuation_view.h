// What a gateway knows about evacuated failure domains.
//
// All control nodes report the state that they have applied. Some lag behind,
// after a restart or while they are cut off, so the highest revision ever
// reported counts: an evacuation that has taken effect on a gateway is not
// undone by a node that doesn't know of it.
//
// Pure: events in, decisions out.

#ifndef LIBS_EVACUATION_EVACUATION_VIEW_H_
#define LIBS_EVACUATION_EVACUATION_VIEW_H_

#include "libs/evacuation/evacuation_state.h"

namespace bilberryspool::evacuation {

class EvacuationView {
 public:
  // Records the state that a control node reports. Returns whether it replaces
  // the known one.
  bool OnReported(const EvacuationState& reported);

  bool IsEvacuated(const FailureDomain& domain) const {
    return state_.domains.contains(domain);
  }
  const EvacuationState& state() const { return state_; }

 private:
  EvacuationState state_;
};

}  // namespace bilberryspool::evacuation

#endif  // LIBS_EVACUATION_EVACUATION_VIEW_H_
