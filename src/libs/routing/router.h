// Routing: which target gets a request, as a pure decision.
//
// One Router belongs to one entry. It learns from events (membership, load
// reports, the entry's own attempts, cache events, configuration) and answers
// with a target or with the reason why there is none. It guards against
// - herding: reports come late, and entries that all trust the same report all
//   send to the same target;
// - work for targets that drain, leave, are ejected or may not serve it;
// - targets that fail fast or are slow and still look idle.

#ifndef LIBS_ROUTING_ROUTER_H_
#define LIBS_ROUTING_ROUTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/limits/drain_rate.h"
#include "libs/routing/affinity_hints.h"
#include "libs/routing/choice.h"
#include "libs/routing/route_request.h"
#include "libs/routing/routing_event.h"
#include "libs/routing/routing_policy.h"
#include "libs/routing/target_estimate.h"
#include "libs/routing/target_health.h"

namespace bilberryspool::routing {

struct RouterOptions {
  RoutingPolicy policy = ChosenPolicy{};
  TargetHealthOptions health;
  // Load in times its limit above which a target gets no more.
  double overfill = 1.2;
  // Part of the limits that Capacity counts; above 1, targets queue a little.
  double headroom = 1.0;
  // Half-life of the trust in a report: an old one counts as the mean of its
  // peers instead.
  Duration report_half_life = Seconds(2);
  // Run time believed of a service of which nothing has finished yet.
  Duration initial_run_time = Seconds(1);
  std::size_t max_hints = 100'000;
  Duration hint_lifetime = Seconds(600);
  // Candidates listed in RouteExplanation.
  std::size_t listed_candidates = 5;
};

// The routing decision of one entry. Movable, not copyable.
class Router {
 public:
  Router(RouterOptions options, std::uint64_t seed);

  void Handle(const RoutingEvent& event, TimePoint now);

  // Chooses a target; changes no belief. Where the request is then sent, the
  // caller hands in AttemptStarted before the next choice.
  Choice Choose(const RouteRequest& request, TimePoint now);

  // Requests of the service that this entry may have running, given its share
  // in (0, 1] of the demand (limits::Admission::entry_share); feeds
  // limits::CapacityChanged.
  //
  // At least the share of the targets' limits; while targets have room, what it
  // has there and its share of that room, so that all entries together don't
  // fill it many times over between two reports.
  std::size_t Capacity(const ServiceId& service,
                       double share,
                       TimePoint now) const;

  // What is believed of a target; nothing where it isn't known.
  const TargetEstimate* estimate(const TargetId& target) const;
  const TargetHealth& health() const { return health_; }
  std::size_t attempts_in_flight() const { return attempts_.size(); }

 private:
  struct TrackedTarget {
    TargetEstimate estimate;
    // Tells a target from its predecessor of the same id.
    std::uint64_t generation = 0;
  };
  struct Attempt {
    TargetId target;
    std::uint64_t generation = 0;
    TimePoint started_at;
    std::vector<std::uint64_t> prefix_hashes;
    ServiceId service;
    bool probe = false;
  };
  struct Allowed {
    bool every_target = false;
    std::set<TargetId> targets;
  };
  struct Survey;

  void On(const TargetUpdated& event, TimePoint now);
  void On(const TargetRemoved& event, TimePoint now);
  void On(const LoadReported& event, TimePoint now);
  void On(const AttemptStarted& event, TimePoint now);
  void On(const FirstToken& event, TimePoint now);
  void On(const AttemptFinished& event, TimePoint now);
  void On(const CacheHint& event, TimePoint now);
  void On(const ConfigChanged& event, TimePoint now);

  void Index(const TargetView& view);
  void Unindex(const TargetView& view);
  // The belief that the attempt was sent on; nothing where it went since.
  TargetEstimate* EstimateOf(const Attempt& attempt);
  void RecordOutcome(const Attempt& attempt,
                     AttemptOutcome outcome,
                     TimePoint now);

  Survey SurveyTargets(const RouteRequest& request,
                       const Allowed& allowed,
                       TimePoint now) const;
  std::optional<Exclusion> FindExclusion(const RouteRequest& request,
                                         const Allowed& allowed,
                                         const TargetEstimate& estimate,
                                         TimePoint now) const;
  Candidate MakeCandidate(const RouteRequest& request,
                          const TargetEstimate& estimate,
                          TimePoint now) const;
  void BlendOldReports(Survey& survey, TimePoint now) const;
  NoTarget Refuse(const Survey& survey,
                  const RouteRequest& request,
                  TimePoint now) const;
  Selected Select(Survey survey, const RouteRequest& request, TimePoint now);
  void CheckSelected(const TargetId& target,
                     const RouteRequest& request,
                     TimePoint now) const;
  Duration Distance(const FailureDomain& from, const FailureDomain& to) const;

  RouterOptions options_;
  Random random_;
  TargetHealth health_;
  AffinityHints hints_;
  std::unordered_map<TargetId, TrackedTarget> targets_;
  std::unordered_map<ServiceId, std::set<TargetId>> by_service_;
  std::unordered_map<AttemptId, Attempt> attempts_;
  std::unordered_map<ServiceId, Allowed> placements_;
  std::unordered_map<ServiceId, limits::DrainRate> run_times_;
  std::map<std::pair<FailureDomain, FailureDomain>, Duration> distances_;
  std::uint64_t last_generation_ = 0;
};

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_ROUTER_H_
