// Detects that this process, or the VM under it, was stalled.
//
// It prevents a second run of a request that was unread, or partly handled,
// while the entry was frozen for longer than the holders remember claims: its
// caller sent it again through another entry, it ran, the holders dropped it,
// and it would now be granted as new. Two signs are monitored. Either the
// entry's own clock jumps between two beats of the event loop (the process was
// stopped), or the agents' epochs get ahead of the own clock (the whole VM was
// paused, including its clock).

#ifndef LIBS_ATTEMPTS_STALL_DETECTOR_H_
#define LIBS_ATTEMPTS_STALL_DETECTOR_H_

#include <map>
#include <optional>

#include "libs/attempts/attempt_ids.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

struct StallDetectorOptions {
  // Maximum duration of a stall that is ignored: the holders still remember
  // claims that long.
  Duration limit = Seconds(60);
  // Time after a stall during which a request that is read may have been sent
  // before the stall.
  Duration grace = Seconds(2);
  // Length of an epoch of the agents; see AttemptGateOptions.
  Duration epoch_length = Seconds(5);
};

class StallDetector {
 public:
  StallDetector(StallDetectorOptions options, TimePoint started);

  // To be called in each iteration of the event loop, before any received data
  // is handled, and at least every few seconds. Returns true if a stall has
  // just been detected: each open request must then be notified with
  // EntryStalled.
  bool Beat(TimePoint now);

  // Processes a token received from a target's agent. Returns true as Beat
  // does.
  bool Observe(const TargetId& target, AdmissionToken token, TimePoint now);

  // Whether a request read now may have been sent before a stall.
  bool MayPredateStall(TimePoint now) const;

 private:
  struct EpochLead {
    Incarnation incarnation;
    // The lead of the agent's epochs over the own clock without a stall.
    Duration baseline;
    TimePoint observed;
  };

  void NoteStall(TimePoint now);

  StallDetectorOptions options_;
  TimePoint last_beat_;
  std::optional<TimePoint> grace_until_;
  std::map<TargetId, EpochLead> leads_;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_STALL_DETECTOR_H_
