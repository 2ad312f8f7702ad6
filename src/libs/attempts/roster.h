// Determines which entries hold the votes for a request key.
//
// It prevents two sends of one request from asking disjoint sets of holders
// because the set of entries changed in between: until everything granted under
// an older roster is past its window, a claim needs a majority of the holders
// of each roster that may still be in effect.

#ifndef LIBS_ATTEMPTS_ROSTER_H_
#define LIBS_ATTEMPTS_ROSTER_H_

#include <cstddef>
#include <vector>

#include "libs/attempts/attempt_ids.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

inline constexpr std::size_t kHoldersPerKey = 3;

struct RosterMember {
  NodeId node;
  FailureDomain domain;
};

// The entries that may hold votes. It is part of the accepted configuration, so
// that a version denotes the same list everywhere.
struct Roster {
  RosterVersion version;
  std::vector<RosterMember> members;
};

// The holders of one key under one roster. A claim needs grants from a majority
// of them.
struct HolderSet {
  RosterVersion version;
  std::vector<NodeId> holders;

  std::size_t majority() const { return holders.size() / 2 + 1; }
};

// Picks up to kHoldersPerKey members by rendezvous hashing: the highest scores
// of distinct failure domains first, then the highest of the rest.
HolderSet PickHolders(const RequestKey& key, const Roster& roster);

// The current roster and those that were replaced less than a window ago.
class RosterHistory {
 public:
  // `window` is the one of the holders' ledgers.
  explicit RosterHistory(Duration window) : window_(window) {}

  // Adopts a newer roster; older and equal versions are ignored. The replaced
  // one stays in effect for one window from now on, by this entry's own clock.
  void Adopt(Roster roster, TimePoint now);

  // The holders of `key` under each roster in effect, newest last.
  std::vector<HolderSet> HoldersOf(const RequestKey& key, TimePoint now) const;

  // Version of the newest roster; 0 if none is known.
  RosterVersion version() const;

 private:
  struct Known {
    Roster roster;
    // When the next roster was adopted; not meaningful for the newest one.
    TimePoint replaced;
  };

  Duration window_;
  std::vector<Known> known_;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_ROSTER_H_
