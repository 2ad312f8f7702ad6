#ifndef LIBS_ROUTING_CHOICE_H_
#define LIBS_ROUTING_CHOICE_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <variant>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::routing {

// Why a target was not a candidate, in the order in which the checks are made.
enum class Exclusion : std::uint8_t {
  kAlreadyTried,
  kNotPlaced,
  kAdapterMissing,
  kNotServing,
  kGroupHeld,
  kEjected,
  // The estimated load has reached the concurrency limit of the target.
  kAtLimit,
};
inline constexpr std::size_t kExclusionCount = 7;

// The rule that decided the choice.
enum class RouteRule : std::uint8_t {
  kRandom,
  kLeastReported,
  kTwoChoices,
  kOnlyCandidate,
  kProbe,
  kPrefixAffinity,
  kOwnDomain,
  kSpill,
  kNone,
};

// A candidate with the figures that the policy compared.
struct CandidateScore {
  TargetId target;
  FailureDomain domain;
  // Estimated number of requests at the target, corrected for the age of the
  // last report and for the requests sent from here since.
  double load = 0.0;
  // Lower is better. Only comparable with other scores of the same choice.
  double score = 0.0;
};

// Explains a choice to an operator.
struct RouteExplanation {
  RouteRule rule = RouteRule::kNone;
  // Number of all candidates; `best` lists the first few by score.
  std::size_t candidates = 0;
  std::vector<CandidateScore> best;
  // Number of targets that were excluded, indexed by Exclusion.
  std::array<std::uint32_t, kExclusionCount> excluded{};
};

struct Selected {
  TargetId target;
  RouteExplanation explanation;
};

enum class NoTargetReason : std::uint8_t {
  kUnknownService,
  // No target that may serve the request is serving.
  kNoneServing,
  kAllTried,
  kAllEjected,
  kAllAtLimit,
};

// No target can take the request now. The caller is to be refused at once, with
// the retry hint.
struct NoTarget {
  NoTargetReason reason = NoTargetReason::kNoneServing;
  // When a retry is worthwhile, as estimated at this moment.
  Duration retry_after{0};
  RouteExplanation explanation;
};

using Choice = std::variant<Selected, NoTarget>;

std::string_view ToString(Exclusion exclusion);
std::string_view ToString(RouteRule rule);
std::string_view ToString(NoTargetReason reason);

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_CHOICE_H_
