// Decides which target gets a request. The decision is pure: no input or
// output.
//
// Each entry has one Router. It learns from events (membership, load reports,
// the entry's own attempts, cache events, configuration) and returns a target
// or the reason why there is none. It guards against
// - herding: load reports arrive late, and entries that all rely on the same
//   report all send to the same target;
// - new work for targets that are draining, leaving, ejected or not allowed to
//   serve the request;
// - targets that fail fast or are slow and therefore look idle.

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
  // Ratio of estimated load to concurrency limit at which a target gets no more
  // requests.
  double overfill = 1.2;
  // Factor applied to the targets' limits in Capacity(). Above 1, targets queue
  // a few requests.
  double headroom = 1.0;
  // Half-life of the weight of a load report. As a report ages, the mean load
  // of the other candidates takes its place.
  Duration report_half_life = Seconds(2);
  // Assumed run time of a request to a service that has not completed any yet.
  Duration initial_run_time = Seconds(1);
  std::size_t max_hints = 100'000;
  Duration hint_lifetime = Seconds(600);
  // Number of candidates listed in RouteExplanation::best.
  std::size_t listed_candidates = 5;
};

// Routes the requests of one entry. Movable, not copyable.
class Router {
 public:
  Router(RouterOptions options, std::uint64_t seed);

  void Handle(const RoutingEvent& event, TimePoint now);

  // Chooses a target without changing any estimate. If the request is then
  // sent, AttemptStarted must be handled before the next choice.
  Choice Choose(const RouteRequest& request, TimePoint now);

  // Maximum number of requests of the service that this entry may have running,
  // given its share in (0, 1] of the demand (limits::Admission::entry_share).
  // Feeds limits::CapacityChanged.
  //
  // The result is at least that share of the targets' limits. While targets
  // have free capacity, it is the number of the entry's own requests there plus
  // its share of the free capacity, so that all entries together don't fill it
  // many times over between two reports.
  std::size_t Capacity(const ServiceId& service,
                       double share,
                       TimePoint now) const;

  // The estimated state of a target; null if the target is unknown.
  const TargetEstimate* estimate(const TargetId& target) const;
  const TargetHealth& health() const { return health_; }
  std::size_t attempts_in_flight() const { return attempts_.size(); }

 private:
  struct TrackedTarget {
    TargetEstimate estimate;
    // Distinguishes a target from an earlier one of the same id.
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
  // The targets that the configuration allows for a service.
  struct Allowed {
    bool every_target = false;
    std::set<TargetId> targets;
  };
  // The candidates for one request, and what excluded the other targets.
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
  // The estimate of the target that the attempt was sent to; null if that
  // target has been removed since.
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
