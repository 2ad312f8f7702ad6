#include "libs/routing/choice.h"

namespace bilberryspool::routing {

std::string_view ToString(Exclusion exclusion) {
  switch (exclusion) {
    case Exclusion::kAlreadyTried:
      return "already tried";
    case Exclusion::kNotPlaced:
      return "not placed";
    case Exclusion::kAdapterMissing:
      return "adapter missing";
    case Exclusion::kNotServing:
      return "not serving";
    case Exclusion::kGroupHeld:
      return "group held";
    case Exclusion::kEjected:
      return "ejected";
    case Exclusion::kAtLimit:
      return "at limit";
  }
  return "unknown";
}

std::string_view ToString(RouteRule rule) {
  switch (rule) {
    case RouteRule::kRandom:
      return "random";
    case RouteRule::kLeastReported:
      return "least reported";
    case RouteRule::kTwoChoices:
      return "two choices";
    case RouteRule::kOnlyCandidate:
      return "only candidate";
    case RouteRule::kProbe:
      return "probe";
    case RouteRule::kPrefixAffinity:
      return "prefix affinity";
    case RouteRule::kOwnDomain:
      return "own domain";
    case RouteRule::kSpill:
      return "spill";
    case RouteRule::kNone:
      return "none";
  }
  return "unknown";
}

std::string_view ToString(NoTargetReason reason) {
  switch (reason) {
    case NoTargetReason::kUnknownService:
      return "unknown service";
    case NoTargetReason::kNoneServing:
      return "none serving";
    case NoTargetReason::kAllTried:
      return "all tried";
    case NoTargetReason::kAllEjected:
      return "all ejected";
    case NoTargetReason::kAllAtLimit:
      return "all at limit";
  }
  return "unknown";
}

}  // namespace bilberryspool::routing
