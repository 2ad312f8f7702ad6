// Notices that this process, or the VM under it, stood still.
//
// It guards against a request that lay unread, or half handled, while the entry
// was frozen for longer than the holders remember claims: its caller sent it
// again elsewhere, it ran, the holders forgot it, and now it would be granted
// as new. Two signs are watched. The own clock leaps between two beats of the
// event loop (the process was stopped); or the agents' epochs run ahead of the
// own clock (the whole VM was paused, its clock with it).

#ifndef LIBS_ATTEMPTS_STALL_DETECTOR_H_
#define LIBS_ATTEMPTS_STALL_DETECTOR_H_

#include <map>
#include <optional>

#include "libs/attempts/attempt_ids.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

struct StallDetectorOptions {
  // Shorter stalls are harmless: the holders still remember.
  Duration limit = Seconds(60);
  // How long after a stall what is read may have been sent before it.
  Duration grace = Seconds(2);
  // The agents' epoch length.
  Duration epoch_length = Seconds(5);
};

class StallDetector {
 public:
  StallDetector(StallDetectorOptions options, TimePoint started);

  // Each pass of the event loop, before anything that was read is handled, and
  // at least every few seconds. True where a stall has just been noticed: tell
  // each open request (EntryStalled).
  bool Beat(TimePoint now);

  // A token heard from a target's agent. True as for Beat.
  bool Observe(const TargetId& target, AdmissionToken token, TimePoint now);

  // Whether a request read now may have been sent before a stall.
  bool MayPredateStall(TimePoint now) const;

 private:
  struct EpochLead {
    Incarnation incarnation;
    // How far the epochs are ahead of the own clock, as it should be.
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
