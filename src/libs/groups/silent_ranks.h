// Which ranks of a group don't answer: cut off, frozen or dead.
//
// Requests are kept from such ranks, so a healthy one that is taken for silent
// loses its work to the others. What can go wrong: the one who listens was late
// itself, for a plan or for want of processor time; all that came meanwhile is
// unread, and dozens of ranks seem silent at once. It shows as hundreds of
// targets that turn slow and well again within half a second. So silence counts
// only from the last moment at which the listener was late.
//
// Pure.

#ifndef LIBS_GROUPS_SILENT_RANKS_H_
#define LIBS_GROUPS_SILENT_RANKS_H_

#include <map>
#include <set>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::groups {

class SilentRanks {
 public:
  void OnHeard(RankIndex rank, TimePoint now);
  // To be called often; takes notice of its own lateness.
  void Tick(TimePoint now);

  // Whether the listener was late since then, or is now.
  bool WasLateSince(TimePoint since, TimePoint now) const;
  // Whether a rank was heard within `age`.
  bool IsHeard(RankIndex rank, Duration age, TimePoint now) const;
  // Ranks that were heard once and are silent since; none where that is most of
  // them, for then it is the listener that is cut off.
  std::set<RankIndex> Missing() const;
  std::size_t heard() const { return heard_at_.size(); }

 private:
  std::map<RankIndex, TimePoint> heard_at_;
  std::set<RankIndex> missing_;
  TimePoint ticked_at_;
  TimePoint late_at_;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_SILENT_RANKS_H_
