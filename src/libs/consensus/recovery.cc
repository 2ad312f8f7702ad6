#include "libs/consensus/recovery.h"

#include <algorithm>

#include "libs/consensus/log_view.h"

namespace bilberryspool::consensus {

std::string RequiredConfirmation(const RecoveredState& state) {
  return state.self.node.value() + " recovery epoch " +
         std::to_string(state.hard_state.epoch.Next().value());
}

std::variant<ForcedConfiguration, ForceRefusal> ForceNewConfiguration(
    const RecoveredState& state,
    const std::string& confirmation) {
  if (state.hard_state.cluster == ClusterId(0)) {
    return ForceRefusal::kBlankFolder;
  }
  if (confirmation != RequiredConfirmation(state)) {
    return ForceRefusal::kNotConfirmed;
  }
  const LogView log(state.snapshot, state.entries);
  ForcedConfiguration forced;
  forced.hard_state = state.hard_state;
  forced.hard_state.epoch = state.hard_state.epoch.Next();
  forced.hard_state.term =
      std::max(state.hard_state.term, log.last_term()).Next();
  forced.hard_state.vote.reset();
  forced.entry = {log.last_index().Next(), forced.hard_state.term,
                  Membership{{state.self}, {}, {}}};
  return forced;
}

}  // namespace bilberryspool::consensus
