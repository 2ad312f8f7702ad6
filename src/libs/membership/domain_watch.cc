#include "libs/membership/domain_watch.h"

namespace bilberryspool::membership {

bool DomainWatch::IsSilent(const DomainEvidence& evidence) const {
  if (evidence.entries_silent) {
    return true;
  }
  const double share = options_.silent_share;
  return evidence.silent >= options_.min_silent &&
         static_cast<double>(evidence.silent) >=
             share * static_cast<double>(evidence.watched);
}

bool DomainWatch::Update(const FailureDomain& domain,
                         const DomainEvidence& evidence,
                         TimePoint now) {
  DomainState& state =
      states_.try_emplace(domain, DomainState{domain, true, {}, {}})
          .first->second;
  bool silent = IsSilent(evidence);
  const bool partial =
      silent && !evidence.entries_silent && evidence.silent < evidence.watched;
  if (!partial) {
    partial_since_.erase(domain);
  } else if (!state.reachable) {
    const TimePoint since =
        partial_since_.try_emplace(domain, now).first->second;
    silent = now - since < options_.partial_return_timeout;
  }
  if (silent != state.reachable) {
    return false;
  }
  state.reachable = !silent;
  if (silent) {
    state.silent_since = now;
  } else {
    state.returned_at = now;
  }
  return true;
}

DomainState DomainWatch::State(const FailureDomain& domain) const {
  const auto found = states_.find(domain);
  return found == states_.end() ? DomainState{domain, true, {}, {}}
                                : found->second;
}

}  // namespace bilberryspool::membership
