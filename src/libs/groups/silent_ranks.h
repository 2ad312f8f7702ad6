// Which ranks of a group don't answer: cut off, frozen or dead.
//
// Requests are kept from such ranks, so a healthy one that is taken for silent
// loses its work to the others. What can go wrong: the one who listens is late
// itself, for a plan or for want of processor time; all that came meanwhile is
// unread, and dozens of ranks seem silent at once. It shows as hundreds of
// targets that turn slow and well again several times a second, which hundreds
// of gateways are told each time. So that a rank was not heard says nothing. A
// rank is missing only where somebody who was well himself has asked it several
// times and got no answer.
//
// Pure.

#ifndef LIBS_GROUPS_SILENT_RANKS_H_
#define LIBS_GROUPS_SILENT_RANKS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::groups {

class SilentRanks {
 public:
  void OnResponse(RankIndex rank, TimePoint now);
  // It was asked and has not answered.
  void OnTimeout(RankIndex rank, TimePoint now);
  // To be called often; takes notice of its own lateness.
  void Tick(TimePoint now);

  // Whether the listener was late since then, or is now: what was asked
  // meanwhile may have been answered.
  bool WasLateSince(TimePoint since, TimePoint now) const;
  // Whether a rank was heard within `age`.
  bool HasResponded(RankIndex rank, Duration age, TimePoint now) const;
  // None where that is most of those that were ever heard, for then it is the
  // listener that is cut off.
  std::set<RankIndex> Missing(TimePoint now) const;
  // How many were ever heard.
  std::size_t known_ranks() const { return ranks_.size(); }

 private:
  struct Rank {
    TimePoint last_response;
    // Questions without an answer since, and when the first was given up.
    std::uint32_t unanswered = 0;
    TimePoint silent_since;
  };

  std::map<RankIndex, Rank> ranks_;
  TimePoint ticked_at_;
  TimePoint late_at_;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_SILENT_RANKS_H_
