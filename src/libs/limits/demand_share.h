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
  // Time constant of the average arrival rate.
  Duration averaging = Seconds(2);
  // An increase of this entry's demand counts only this long after it was
  // announced, so that the other entries have reduced their shares by then.
  // Must be longer than the interval of the demand summaries plus their
  // delivery time.
  Duration maturity = Seconds(2);
  // Minimum share of each entry, as a fraction of an equal share.
  double floor = 0.25;
  // An entry without new summaries keeps its last share for this long.
  Duration peer_memory = Seconds(30);
};

// This entry's share of limits that apply to all entries together, in
// proportion to the demand at each entry.
//
// Guards against two faults of fixed shares: callers that all use one entry get
// only a part of their limit, and entries that estimate their shares
// independently exceed the limit together. While summaries arrive before they
// are `maturity` old and all entries know of each other, the shares sum to at
// most 1 + floor. Entries that can't reach each other for longer than
// `peer_memory`, or don't know of each other yet, each divide the whole limit
// on their own side.
class DemandShare {
 public:
  explicit DemandShare(DemandShareOptions options);

  // Records the arrival of a request.
  void OnArrival(const Workspace& workspace, TimePoint now);
  // The summary to send to all other entries, several times per `maturity`.
  std::vector<WorkspaceDemand> Announce(TimePoint now);
  // Records the demand summary of another entry.
  void OnPeerDemand(const NodeId& peer,
                    const std::vector<WorkspaceDemand>& demands,
                    TimePoint now);
  void ErasePeer(const NodeId& peer);
  // Erases peers that have sent no summary for `peer_memory`.
  void Prune(TimePoint now);

  // Share of the limits of the workspace, in (0, 1].
  double Share(const Workspace& workspace) const;
  // This entry's part of the total demand, in (0, 1]. Increases count without
  // delay, because this only divides capacity that targets protect themselves.
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
  // From the latest announcement that has matured to the most recent one.
  std::deque<Announcement> announced_;
  std::map<NodeId, Peer> peers_;
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_DEMAND_SHARE_H_
