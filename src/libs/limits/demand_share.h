#ifndef LIBS_LIMITS_DEMAND_SHARE_H_
#define LIBS_LIMITS_DEMAND_SHARE_H_

#include <deque>
#include <map>
#include <unordered_map>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/limits/admission_event.h"

namespace bilberryspool::limits {

struct DemandShareOptions {
  // Time over which arrivals are averaged.
  Duration averaging = Seconds(2);
  // A rise of the own demand counts only this long after it was announced, so
  // that the others have given way by then. Longer than the interval of the
  // summaries and their way together.
  Duration maturity = Seconds(2);
  // Each entry always has this share of an equal part.
  double floor = 0.25;
  // A silent entry keeps its last share for this long.
  Duration peer_memory = Seconds(30);
};

// This entry's share of limits that hold over all entries, in proportion to
// the demand that each sees.
//
// Guards against two faults of fixed shares: callers that all use one entry
// get only a part of their limit; and entries that guess for themselves
// overshoot together. While a summary is younger than `maturity` on arrival
// and all entries know of each other, their shares sum to at most 1 + floor.
// Entries that can't hear each other for longer than `peer_memory`, or have
// not heard of each other yet, share out the whole limit on each side.
class DemandShare {
 public:
  explicit DemandShare(DemandShareOptions options);

  void OnArrival(const Workspace& workspace, TimePoint now);
  // The summary to send to all other entries, every fraction of `maturity`.
  std::vector<WorkspaceDemand> Announce(TimePoint now);
  void OnPeerDemand(const NodeId& peer,
                    const std::vector<WorkspaceDemand>& demands,
                    TimePoint now);
  void ErasePeer(const NodeId& peer);
  // Drops peers that were silent for too long.
  void Prune(TimePoint now);

  // In (0, 1].
  double Share(const Workspace& workspace) const;
  // This entry's part of all demand, in (0, 1]; without the delay for a rise,
  // because it only divides room that targets guard themselves.
  double EntryShare(TimePoint now) const;
  std::size_t peers() const { return peers_.size(); }

 private:
  using Rates = std::unordered_map<Workspace, double>;
  struct Rate {
    double per_second = 0.0;
    TimePoint last;
  };
  struct Announcement {
    TimePoint at;
    Rates rates;
  };
  struct Peer {
    TimePoint received_at;
    Rates rates;
  };

  double Decayed(const Rate& rate, TimePoint now) const;
  double MaturedOwnRate(const Workspace& workspace) const;

  DemandShareOptions options_;
  std::unordered_map<Workspace, Rate> arrivals_;
  // From the last one that has matured to the latest.
  std::deque<Announcement> announced_;
  std::map<NodeId, Peer> peers_;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_DEMAND_SHARE_H_
