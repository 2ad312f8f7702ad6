#include "libs/evacuation/evacuation_view.h"

namespace bilberryspool::evacuation {

bool EvacuationView::OnReported(const EvacuationState& reported) {
  if (reported.revision <= state_.revision) {
    return false;
  }
  state_ = reported;
  return true;
}

}  // namespace bilberryspool::evacuation
