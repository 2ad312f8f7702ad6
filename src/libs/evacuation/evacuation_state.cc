#include "libs/evacuation/evacuation_state.h"

namespace bilberryspool::evacuation {

std::string NamesOf(const EvacuationState& state) {
  std::string names;
  for (const FailureDomain& domain : state.domains) {
    names += (names.empty() ? "" : ",") + domain.value();
  }
  return names.empty() ? "none" : names;
}

}  // namespace bilberryspool::evacuation
