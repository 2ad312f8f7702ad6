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

// Why a target was not a candidate, in the order of the checks.
enum class Exclusion : std::uint8_t {
  kAlreadyTried,
  kNotPlaced,
  kAdapterMissing,
  kNotServing,
  kGroupHeld,
  kEjected,
  // At its concurrency limit.
  kAtLimit,
};
inline constexpr std::size_t kExclusionCount = 7;

// The rule that made the choice.
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

// One candidate as the policy saw it.
struct CandidateScore {
  TargetId target;
  FailureDomain domain;
  // Requests believed to be at the target, corrected for age and own sends.
  double load = 0.0;
  // Lower is better; compares within one choice only.
  double score = 0.0;
};

// Record of a choice that can be shown to an operator.
struct RouteExplanation {
  RouteRule rule = RouteRule::kNone;
  // Candidates in all; `best` holds the first few by score.
  std::size_t candidates = 0;
  std::vector<CandidateScore> best;
  // Targets left out, counted by Exclusion.
  std::array<std::uint32_t, kExclusionCount> excluded{};
};

struct Selected {
  TargetId target;
  RouteExplanation explanation;
};

enum class NoTargetReason : std::uint8_t {
  kUnknownService,
  // Nothing that may serve it is there at all.
  kNoneServing,
  kAllTried,
  kAllEjected,
  kAllAtLimit,
};

// Nothing can take the request now. To be answered at once, with the hint.
struct NoTarget {
  NoTargetReason reason = NoTargetReason::kNoneServing;
  // When asking again makes sense, from the beliefs at this moment.
  Duration retry_after{0};
  RouteExplanation explanation;
};

using Choice = std::variant<Selected, NoTarget>;

std::string_view ToString(Exclusion exclusion);
std::string_view ToString(RouteRule rule);
std::string_view ToString(NoTargetReason reason);

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_CHOICE_H_
