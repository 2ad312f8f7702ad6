// Detects the ranks of a group that don't respond because they are cut off,
// frozen or dead.
//
// Requests are kept away from such ranks, so a healthy rank that is mistaken
// for a silent one loses its work to the others. This happens when the polling
// process itself is late, because it computes a plan or lacks processor time:
// all answers that arrive meanwhile are unread, and dozens of ranks seem silent
// at once. Hundreds of targets then turn slow and recover several times a
// second, and hundreds of gateways are notified each time. The time since the
// last response of a rank is therefore no evidence. A rank is missing only if a
// process that was not late itself has polled it several times without an
// answer.
//
// Pure state: does no I/O and reads no clock.

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
  // The rank was polled and has not answered. It may never have responded: a
  // new leader has to find the ranks that fell silent before it took over.
  void OnTimeout(RankIndex rank, TimePoint now);
  // Must be called often; detects that the caller itself is late.
  void Tick(TimePoint now);

  // Whether the polling process was late since `since`, or is late now: polls
  // from that time may have been answered.
  bool WasLateSince(TimePoint since, TimePoint now) const;
  // Whether the rank has responded within the last `age`.
  bool HasResponded(RankIndex rank, Duration age, TimePoint now) const;
  // Ranks that don't answer. Empty if they are half or more of all polled
  // ranks, because then the polling process itself is cut off.
  std::set<RankIndex> Missing(TimePoint now) const;
  // Number of ranks that have ever responded.
  std::size_t known_ranks() const;

 private:
  struct Rank {
    TimePoint last_response;
    // Polls without an answer since the last response, and when the first of
    // them timed out.
    std::uint32_t unanswered = 0;
    TimePoint silent_since;
  };

  std::map<RankIndex, Rank> ranks_;
  TimePoint ticked_at_;
  TimePoint late_at_;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_SILENT_RANKS_H_
