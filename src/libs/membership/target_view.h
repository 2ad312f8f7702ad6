// What routing sees of a target.

#ifndef LIBS_MEMBERSHIP_TARGET_VIEW_H_
#define LIBS_MEMBERSHIP_TARGET_VIEW_H_

#include "libs/base/time.h"
#include "libs/membership/announcement.h"
#include "libs/membership/target_record.h"

namespace bilberryspool::membership {

// kLastResort: only where no other target can serve the request.
enum class Offer { kYes, kLastResort, kNo };

// Why a target is offered or not.
enum class OfferReason {
  kServing,
  kRamping,   // its failure domain came back a moment ago
  kSuspect,   // heartbeats are missing
  kStale,     // its failure domain is cut off; this is its last known state
  kFlapping,  // it came back too often of late
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
  // Share of its usual work that it should get, 0 to 1; below 1 while its
  // domain ramps up.
  double share = 1.0;
  LoadReport load;           // `age` counts up to the present
  Duration last_seen_age{};  // since the agent was heard
  NodeId last_seen_by;       // the entry that heard it; empty before the first
  bool direct = false;       // heard by this entry itself
  Liveness liveness = Liveness::kAlive;
};

const char* ToString(OfferReason reason);

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_TARGET_VIEW_H_
