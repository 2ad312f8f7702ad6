#ifndef LIBS_MEMBERSHIP_DOMAIN_WATCH_H_
#define LIBS_MEMBERSHIP_DOMAIN_WATCH_H_

#include <cstddef>
#include <map>
#include <optional>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::membership {

struct DomainWatchOptions {
  // A domain is considered unreachable if this fraction of its targets, and at
  // least `min_silent` of them, are silent at the same time.
  double silent_share = 0.5;
  std::size_t min_silent = 3;
  // If a part of an unreachable domain has been responding for this time, the
  // rest is considered dead.
  Duration partial_return_timeout = Seconds(60);
};

struct DomainState {
  FailureDomain domain;
  bool reachable = true;
  TimePoint silent_since;  // valid while not reachable
  TimePoint returned_at;   // silence of targets before this time is ignored
};

// Observations of one domain at one time.
struct DomainEvidence {
  std::size_t watched = 0;      // targets neither gone nor leaving
  std::size_t silent = 0;       // watched targets with overdue heartbeats
  bool entries_silent = false;  // no messages from the domain's entries
};

// Distinguishes an unreachable failure domain from failed targets: if many
// targets of one domain become silent within the suspicion window, they have a
// common cause. A network partition thus does not evict a whole domain and its
// state.
class DomainWatch {
 public:
  explicit DomainWatch(DomainWatchOptions options) : options_(options) {}

  // Returns whether the domain's state changed.
  bool Update(const FailureDomain& domain,
              const DomainEvidence& evidence,
              TimePoint now);
  DomainState State(const FailureDomain& domain) const;
  const std::map<FailureDomain, DomainState>& states() const { return states_; }

 private:
  bool IsSilent(const DomainEvidence& evidence) const;

  DomainWatchOptions options_;
  std::map<FailureDomain, DomainState> states_;
  std::map<FailureDomain, TimePoint> partial_since_;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_DOMAIN_WATCH_H_
