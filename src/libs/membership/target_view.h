// A target as seen by routing.

#ifndef LIBS_MEMBERSHIP_TARGET_VIEW_H_
#define LIBS_MEMBERSHIP_TARGET_VIEW_H_

#include "libs/base/time.h"
#include "libs/membership/announcement.h"
#include "libs/membership/target_record.h"

namespace bilberryspool::membership {

// kLastResort: only if no other target can serve the request.
enum class Offer { kYes, kLastResort, kNo };

// Reason why a target is offered or not.
enum class OfferReason {
  kServing,
  kRamping,   // its failure domain returned recently
  kSuspect,   // heartbeats are overdue
  kStale,     // its failure domain is unreachable; last known state
  kFlapping,  // it returned too often recently
  kJoining,
  kDraining,
  kLeaving,
  kGone,
};

struct TargetView {
  // Valid until the directory handles its next event.
  const Announcement* announcement = nullptr;
  Offer offer = Offer::kNo;
  OfferReason reason = OfferReason::kGone;
  // Fraction of its normal share of work, 0 to 1; below 1 while its domain
  // ramps up.
  double share = 1.0;
  LoadReport load;           // with `age` as of now
  Duration last_seen_age{};  // since the agent was last seen
  NodeId last_seen_by;       // entry that saw it last; empty if none did
  bool direct = false;       // last seen by this entry
  Liveness liveness = Liveness::kAlive;
};

const char* ToString(OfferReason reason);

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_TARGET_VIEW_H_
