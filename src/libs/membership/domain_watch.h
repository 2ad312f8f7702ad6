#ifndef LIBS_MEMBERSHIP_DOMAIN_WATCH_H_
#define LIBS_MEMBERSHIP_DOMAIN_WATCH_H_

#include <cstddef>
#include <map>
#include <optional>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::membership {

struct DomainWatchOptions {
  // A domain counts as cut off when this share of its targets, and at least
  // `min_silent`, are silent at once.
  double silent_share = 0.5;
  std::size_t min_silent = 3;
  // After so long with some of the domain heard again, the rest is dead.
  Duration partial_return_timeout = Seconds(60);
};

struct DomainState {
  FailureDomain domain;
  bool reachable = true;
  TimePoint silent_since;  // meaningful while not reachable
  TimePoint returned_at;   // silence before this point is not held against
                           // the domain's targets
};

// What an entry hears of one domain at one moment.
struct DomainEvidence {
  std::size_t watched = 0;      // targets that are neither gone nor leaving
  std::size_t silent = 0;       // those of them that are overdue
  bool entries_silent = false;  // nothing at all came from its entries
};

// Tells a failure domain that is cut off from targets that died: many of one
// domain falling silent within the suspicion window have one cause. Guards
// against evicting a whole domain (and its state) for a network partition.
class DomainWatch {
 public:
  explicit DomainWatch(DomainWatchOptions options) : options_(options) {}

  // True where the domain's state changed.
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
