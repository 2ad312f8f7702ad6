#include "libs/membership/target_view.h"

namespace bilberryspool::membership {

const char* ToString(OfferReason reason) {
  switch (reason) {
    case OfferReason::kServing:
      return "serving";
    case OfferReason::kRamping:
      return "ramping up after its failure domain returned";
    case OfferReason::kSuspect:
      return "heartbeats missing";
    case OfferReason::kStale:
      return "failure domain cut off, last known state";
    case OfferReason::kFlapping:
      return "came back too often";
    case OfferReason::kJoining:
      return "joining";
    case OfferReason::kDraining:
      return "draining";
    case OfferReason::kLeaving:
      return "leaving";
    case OfferReason::kGone:
      return "gone";
  }
  return "";
}

}  // namespace bilberryspool::membership
