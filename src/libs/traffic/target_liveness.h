// Which targets have fallen silent while others of their service answer.
//
// A target whose VM is frozen or cut off still counts as ready for seconds: it
// announced itself a moment ago, and its connections stay open. Requests that
// are sent there wait until their callers leave. It shows in that nothing comes
// from it, though requests wait there and others answer; where all are silent,
// as in a group that stands still, none of them is a better place to go.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_TRAFFIC_TARGET_LIVENESS_H_
#define LIBS_TRAFFIC_TARGET_LIVENESS_H_

#include <cstdint>
#include <map>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::traffic {

struct TargetLivenessOptions {
  // Silence is suspect after this long, or after so many times the usual time
  // to the first byte of an answer, whichever is longer. Callers of streams
  // leave after two seconds without an event, so one second leaves another
  // target one more.
  Duration min_silence = Milliseconds(1000);
  double usual_latency_factor = 4.0;
  // Another target must have been heard this long after it fell silent. Ranks
  // of one group that stands still were all heard within one step of each
  // other, 50 to 300 ms.
  Duration min_response_after_silence = Milliseconds(500);
  // And the service must have been heard again and again for this long, with no
  // pause of its own longer than `pause`: when a group goes on, the ranks'
  // first bytes come a few milliseconds apart, and the last is not silent for
  // that.
  Duration min_active_period = Milliseconds(300);
  Duration max_active_gap = Milliseconds(400);
  // Weight of the newest answer in the usual time.
  double latency_smoothing = 0.1;
};

class TargetLiveness {
 public:
  explicit TargetLiveness(TargetLivenessOptions options) : options_(options) {}

  // One more request waits at the target.
  void OnSent(const TargetId& target, const ServiceId& service, TimePoint now);
  // A byte came from the target.
  void OnBytesReceived(const TargetId& target, TimePoint now);
  // The first byte of an answer came, so long after it was asked for.
  void OnFirstByte(const TargetId& target, Duration waited, TimePoint now);
  void OnEnded(const TargetId& target);

  bool IsSuspect(const TargetId& target, TimePoint now) const;
  // Whether the service has gone on, at any of its targets, though nothing came
  // on one connection since `silent_since`.
  bool HasProgressed(const ServiceId& service,
                     TimePoint silent_since,
                     TimePoint now) const;

 private:
  struct Target {
    ServiceId service;
    std::uint32_t waiting = 0;
    // When it was last heard, or when the first of those that wait was sent.
    TimePoint silent_since;
  };
  struct Service {
    // The two targets heard last: the one in question may be the last.
    TargetId last_responder;
    TimePoint last_response_at;
    TimePoint other_response_at;
    TimePoint active_since;
    Duration usual_latency{};
  };

  bool HasRespondedSince(const Service& service,
                         TimePoint response_at,
                         TimePoint silent_since,
                         TimePoint now) const;

  TargetLivenessOptions options_;
  std::map<TargetId, Target> targets_;  // those where requests wait
  std::map<ServiceId, Service> services_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_LIVENESS_H_
