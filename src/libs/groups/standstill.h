// Whether a group that has work has stopped to begin steps.
//
// What goes wrong: one rank can stop all others, by a step that is held while
// the VM beside it is frozen or cut off, or as it dies. Engines go on taking
// requests in, nothing comes of them, and callers leave after two seconds
// without a word; the engines keep what was left until they step again, and are
// late for seconds after. It shows as reports that name one step again and
// again while requests run there. Whoever knows can refuse new requests at once
// and say when to come back.
//
// Pure: events and `now` in, a decision out.

#ifndef LIBS_GROUPS_STANDSTILL_H_
#define LIBS_GROUPS_STANDSTILL_H_

#include <map>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/groups/engine_order.h"

namespace bilberryspool::groups {

struct StandstillOptions {
  // A group with work that has begun no step for this long, or for so many
  // times as long as its steps took lately, whichever is longer, stands still.
  // Steps take 40 to 170 ms, and 300 with a slow rank; a change of map that
  // meets a lost order holds one for 0.1 to 0.2 s, and 0.4 s where 72 ranks
  // have a node with 0.15 of a core. Chosen above those: each piece of news
  // makes the node answer all gateways at once.
  Duration least = Milliseconds(500);
  double usual_times = 8.0;
  // Weight of the newest step in the usual time.
  double newest_weight = 0.2;
  // Where nothing was heard of the group for this long nothing can be said.
  Duration freshness = Milliseconds(1500);
};

class Standstill {
 public:
  explicit Standstill(StandstillOptions options) : options_(options) {}

  // What a rank reported as of `as_of`.
  void OnReport(RankIndex rank, const EngineReport& report, TimePoint as_of);
  // The last step that had begun at `as_of`, from whatever source.
  void OnStep(GroupEpoch epoch, StepNumber step, TimePoint as_of);

  bool IsStanding(TimePoint now) const;
  // When the step that is not followed by another one was first seen.
  TimePoint since() const { return step_at_; }

 private:
  StandstillOptions options_;
  GroupEpoch epoch_;
  StepNumber step_;
  TimePoint step_at_;     // when it was first seen
  TimePoint checked_at_;  // when it was last seen
  // Since when some rank has had work; of ranks without any, nothing.
  std::map<RankIndex, TimePoint> at_work_since_;
  bool is_open_ = false;
  Duration usual_{};
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_STANDSTILL_H_
