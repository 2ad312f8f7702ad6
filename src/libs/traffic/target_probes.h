// Decides when a gateway probes the VMs of silent targets, and which VMs don't
// respond.
//
// If a VM freezes, runs at its target can't be ended. Control nodes name such
// targets, but not in time if their leader has just changed, is late itself or
// is out of reach. The gateway therefore asks the sidecar on the target's VM,
// but only where a caller is about to be lost: an engine that is silent for a
// second is common, and a probe for each request would cost more than it tells.
//
// Silence is evidence only from a sidecar that has answered this gateway
// before: there may be none on the VM, or a firewall in between. A target is
// therefore also probed when it gets its first request.
//
// An answer that the gateway had no time to read is no silence of the VM, so a
// probe counts only if the gateway was not late itself.
//
// Pure: takes events and `now`, has no input or output.

#ifndef LIBS_TRAFFIC_TARGET_PROBES_H_
#define LIBS_TRAFFIC_TARGET_PROBES_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::traffic {

// Numbers the probes of one gateway.
using ProbeNumber = StrongNumber<struct ProbeNumberTag>;

struct TargetProbesOptions {
  // A target is probed once it has been silent for this long.
  Duration min_silence = Milliseconds(1000);
  // Least time between the starts of two probes of a target.
  Duration interval = Milliseconds(250);
  // The same while the target's sidecar has never answered.
  Duration first_answer_interval = Seconds(10);
  // How long a target without requests is remembered to have a sidecar.
  Duration retention = Seconds(600);
  // A VM that is not frozen answers within this time.
  Duration answer_timeout = Milliseconds(250);
  // A VM is unresponsive after this number of unanswered probes in a row, if
  // this time has passed from the start of the first to the end of the last. A
  // single answer may get lost, and so may all answers of one moment.
  std::uint32_t min_unanswered = 2;
  Duration min_unanswered_period = Milliseconds(300);
  // The gateway is late if more time passes between two ticks. They are due
  // every 100 ms.
  Duration max_tick_gap = Milliseconds(200);
  // After that it counts as late for this long, to read what lies unread.
  Duration catch_up_period = Milliseconds(50);
};

enum class ProbeResult {
  kAnswered,
  kUnanswered,  // nothing within the timeout
  kNoEvidence,  // refused or disconnected: nothing serves probes there
};

// What an event changed for a target's VM.
enum class VmChange {
  kNone,
  kUnresponsive,     // no longer responds
  kRespondingAgain,  // was unresponsive until now
};

class TargetProbes {
 public:
  struct DueProbe {
    TargetId target;
    ProbeNumber number;
  };

  explicit TargetProbes(TargetProbesOptions options) : options_(options) {}

  // Call when a request was sent to the target; each call must be followed by
  // one OnEnded().
  void OnSent(const TargetId& target, TimePoint now);
  // Call when anything was received from the target on any request.
  VmChange OnBytesReceived(const TargetId& target, TimePoint now);
  // Call when a request at the target has ended. Returns whether it was the
  // last one; after that, all that is known of the target is whether it has a
  // sidecar that answers.
  bool OnEnded(const TargetId& target, TimePoint now);

  // Must be called often; detects that the gateway itself is late. Returns the
  // probes to be sent now; each must be followed by one OnProbeEnded().
  std::vector<DueProbe> Tick(TimePoint now);
  // Results of probes that were sent before the last sign of life are ignored,
  // except for answers.
  VmChange OnProbeEnded(const DueProbe& probe,
                        ProbeResult result,
                        TimePoint now);

  // False while the gateway is late: an answer may lie unread.
  bool IsUnresponsive(const TargetId& target, TimePoint now) const;
  Duration answer_timeout() const { return options_.answer_timeout; }

 private:
  struct Probe {
    ProbeNumber number;
    TimePoint began_at;
    // Something was received from the target since the probe began.
    bool is_outdated = false;
  };
  struct Target {
    std::uint32_t waiting = 0;
    // Its sidecar has answered a probe of this gateway.
    bool has_answered = false;
    TimePoint ended_at;  // end of its last request
    // When something was last received, or when the first of the waiting
    // requests was sent.
    TimePoint silent_since;
    std::optional<Probe> probe;  // in progress
    TimePoint probed_at;         // start of the last probe
    // Probes without an answer since the last sign of life, and when the first
    // of them began.
    std::uint32_t unanswered = 0;
    TimePoint unanswered_since;
    bool is_unresponsive = false;
  };

  // Whether the gateway was late since `since`, or is late now.
  bool WasLateSince(TimePoint since, TimePoint now) const;
  bool IsDue(const Target& target, TimePoint now) const;
  void RemoveUnused(TimePoint now);
  // Drops the evidence against the target's VM.
  static VmChange Acquit(Target& target);

  TargetProbesOptions options_;
  std::map<TargetId, Target> targets_;
  ProbeNumber last_number_;
  TimePoint ticked_at_;
  TimePoint late_at_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_PROBES_H_
