// Detects targets that are silent while others of their service respond.
//
// A target whose VM is frozen or disconnected still counts as ready for
// seconds, because it announced itself a moment ago and its connections stay
// open. Requests that are sent to it wait until their callers disconnect. Such
// a target is recognized because nothing arrives from it although requests wait
// there and other targets respond. If all targets are silent, as in a group
// that is stalled, none of them is a better choice.
//
// Pure: takes events and `now`, has no input or output.

#ifndef LIBS_TRAFFIC_TARGET_LIVENESS_H_
#define LIBS_TRAFFIC_TARGET_LIVENESS_H_

#include <cstdint>
#include <map>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::traffic {

struct TargetLivenessOptions {
  // A target may be suspect after this time without a response, or after
  // `usual_latency_factor` times the usual time to the first byte, whichever is
  // longer. Callers of streams disconnect after two seconds without an event,
  // so one second leaves another target one second to respond.
  Duration min_silence = Milliseconds(1000);
  double usual_latency_factor = 4.0;
  // Another target must have responded at least this long after the silence
  // began. The ranks of a group that stalls last responded within one step of
  // each other, 50 to 300 ms.
  Duration min_response_after_silence = Milliseconds(500);
  // The service must also have responded for this long without a gap longer
  // than `max_active_gap`. When a stalled group continues, the first bytes of
  // its ranks arrive a few milliseconds apart, and the last one must not count
  // as silent for that.
  Duration min_active_period = Milliseconds(300);
  Duration max_active_gap = Milliseconds(400);
  // Weight of the newest response in the moving average of the usual time to
  // the first byte.
  double latency_smoothing = 0.1;
};

class TargetLiveness {
 public:
  explicit TargetLiveness(TargetLivenessOptions options) : options_(options) {}

  // Call when a request was sent to the target.
  void OnSent(const TargetId& target, const ServiceId& service, TimePoint now);
  // Call when bytes were received from the target.
  void OnBytesReceived(const TargetId& target, TimePoint now);
  // Call when the first byte of a response was received, `waited` after the
  // request was sent.
  void OnFirstByte(const TargetId& target, Duration waited, TimePoint now);
  // Call when a request at the target has ended.
  void OnEnded(const TargetId& target);

  // Whether the target is silent while other targets of its service respond.
  bool IsSuspect(const TargetId& target, TimePoint now) const;
  // Whether any target of the service has continued to respond although nothing
  // was received on one connection since `silent_since`.
  bool HasProgressed(const ServiceId& service,
                     TimePoint silent_since,
                     TimePoint now) const;

 private:
  struct Target {
    ServiceId service;
    std::uint32_t waiting = 0;
    // When the target last responded, or when the first of the waiting requests
    // was sent.
    TimePoint silent_since;
  };
  struct Service {
    // The last responder and the time of the last response of any other target,
    // which is needed if the target in question is itself the last responder.
    TargetId last_responder;
    TimePoint last_response_at;
    TimePoint other_response_at;
    TimePoint active_since;
    Duration usual_latency{};
  };

  // Whether a response at `response_at` shows that the service is active after
  // the silence that began at `silent_since`.
  bool HasRespondedSince(const Service& service,
                         TimePoint response_at,
                         TimePoint silent_since,
                         TimePoint now) const;

  TargetLivenessOptions options_;
  std::map<TargetId, Target> targets_;  // only targets with requests
  std::map<ServiceId, Service> services_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_LIVENESS_H_
