#ifndef LIBS_EVACUATION_EVACUATION_STATE_H_
#define LIBS_EVACUATION_EVACUATION_STATE_H_

#include <cstdint>
#include <set>
#include <string>

#include "libs/base/ids.h"

namespace bilberryspool::evacuation {

// The evacuated failure domains as of a revision. A higher revision is newer,
// whichever control node reports it.
struct EvacuationState {
  std::uint64_t revision = 0;
  std::set<FailureDomain> domains;

  bool operator==(const EvacuationState&) const = default;
};

// The names of the evacuated domains for the log, separated by commas; "none"
// without any.
std::string NamesOf(const EvacuationState& state);

}  // namespace bilberryspool::evacuation

#endif  // LIBS_EVACUATION_EVACUATION_STATE_H_
