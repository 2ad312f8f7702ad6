// A gateway's state of the targets, and the choice of the target for each
// request.
//
// Each control node reports the targets that announce themselves to it; the
// pool merges these reports. In addition to what targets announce, it tracks
// the outcome of requests: after a failed send a target is in cooldown, longer
// after each further failure, until the first success.
//
// Pure: takes events and `now`, has no input or output.

#ifndef LIBS_TRAFFIC_TARGET_POOL_H_
#define LIBS_TRAFFIC_TARGET_POOL_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/random.h"
#include "libs/cold_targets/cold_start_limiter.h"
#include "libs/declared_limits/limit_accounts.h"
#include "libs/evacuation/evacuation_view.h"
#include "libs/group_loads/group_load_view.h"
#include "libs/traffic/group_availability.h"
#include "libs/traffic/target_liveness.h"
#include "libs/traffic/target_pauses.h"
#include "libs/traffic/target_registry.h"

namespace bilberryspool::traffic {

// Pace reported for a target that responds to nobody; slower than that of any
// target that works.
constexpr double kUnresponsivePace = 1000.0;

struct TargetPoolOptions {
  FailureDomain domain;
  // A target that failed is in cooldown for this long, doubled at each
  // consecutive failure up to the maximum. It is not chosen while there are
  // others.
  Duration initial_cooldown = Milliseconds(250);
  Duration max_cooldown = Seconds(4);
  // How long a reported load is used. After that the mean of the loads that are
  // still fresh takes its place.
  Duration load_freshness = Milliseconds(1500);
  // How long a target that refused a request as full gets no more: a place in
  // its batch becomes free every few steps.
  Duration full_cooldown = Milliseconds(200);
  // Maximum number of requests at a target, as a multiple of its slots. If all
  // targets have reached it, requests are refused at once.
  double max_load_factor = 1.25;
  cold_targets::ColdStartLimiterOptions cold_starts;
  // Start of the process.
  TimePoint started_at;
  // A target is known to be warm while control nodes have reported within this
  // time and its announcements say so.
  Duration warmth_freshness = Seconds(3);
  // How long records of targets that left are kept: a control node that was
  // disconnected may still report them.
  Duration retention = Seconds(120);
};

// The outcome of a request as far as it concerns the target.
enum class TargetOutcome {
  kGood,      // responded, whatever the response
  kFull,      // refused as full
  kFailed,    // unreachable, silent, disconnected or responded with a failure
  kReplaced,  // another target responds at the address
};

struct Choice {
  TargetId target;
  Incarnation incarnation;
  std::string address;
  // Estimated number of requests at the target when it was chosen, and its
  // number of slots.
  double load = 0.0;
  std::uint32_t slots = 0;
};

// Why no target was chosen.
enum class NoChoice {
  kNone,        // no target of the service is known
  kEvacuated,   // all known targets are in evacuated failure domains
  kFull,        // all targets have the maximum number of requests
  kCold,        // all remaining targets may be cold and have had their share
  kPaused,      // all remaining targets have asked for a pause
  kInCooldown,  // all remaining targets failed recently
};

using ChoiceOutcome = std::variant<Choice, NoChoice>;

class TargetPool {
 public:
  TargetPool(TargetPoolOptions options, std::uint64_t seed);

  // Merges the records that the control node `source` reported. If `is_whole`
  // is set, they are all that the source has, and its earlier reports are
  // dropped: the source has restarted.
  void Update(const std::string& source,
              bool is_whole,
              const std::vector<TargetRecord>& records,
              TimePoint now);

  // Sets the targets that `source` found too slow to get requests. Maps their
  // addresses to their pace: how many times as long as a healthy target they
  // take.
  void SetSlow(const std::string& source,
               std::map<std::string, double> by_address);

  // Records the evacuated failure domains that a control node reports. Their
  // targets get no requests. Returns whether they have changed.
  bool SetEvacuated(const evacuation::EvacuationState& reported);
  const evacuation::EvacuationState& evacuations() const {
    return evacuations_.state();
  }

  // Records the loads of lock-step groups that the control node `source`
  // reports.
  void SetGroupLoads(const std::string& source,
                     const std::vector<group_loads::GroupLoad>& loads,
                     TimePoint now);
  // A target refused a request because another rank of its group is missing.
  void OnGroupRefused(const TargetId& target, TimePoint now);
  // Part of the room of `service` that is in use: of its groups, as control
  // nodes report it, or of the slots of its targets, as far as their answers
  // show. Above 1 if requests wait. Nothing if it is not known.
  std::optional<double> LoadFractionOf(const ServiceId& service,
                                       TimePoint now) const;

  // Chooses a target of `service` for one request, excluding `tried`. The
  // request counts as sent from now on: each Choice must be followed by one
  // OnEnded().
  ChoiceOutcome Choose(const ServiceId& service,
                       const std::set<TargetId>& tried,
                       TimePoint now);
  void OnEnded(const TargetId& target, TargetOutcome outcome, TimePoint now);
  // Like Choose(), but only chooses a target to which a request may be moved
  // that another one still has: one that is neither slow nor suspect, and did
  // not fail recently. Must be followed by one OnEnded() or OnNotSent().
  std::optional<Choice> ChooseToMove(const ServiceId& service,
                                     const std::set<TargetId>& tried,
                                     TimePoint now);
  // The request of a choice was not sent after all.
  void OnNotSent(const TargetId& target);
  // Records the load that a target reported with a response.
  void OnLoad(const TargetId& target,
              std::uint32_t running,
              std::uint32_t waiting,
              TimePoint now);

  // Records that a run of a target refused a request of this gateway and wants
  // no further ones for `length`. It gets none until then, also if there is no
  // other target. Returns whether it was not paused before.
  bool OnPauseRequested(const TargetRun& run, Duration length, TimePoint now);

  // Records that a run of a target said in an answer that it is about to
  // terminate. It gets no requests from then on, whatever it announces. Returns
  // whether it was ready before.
  bool OnLeaving(const TargetRun& run);

  // Call when the first byte of a successful response was received, `waited`
  // after the request was sent.
  void OnFirstByte(const TargetId& target, Duration waited, TimePoint now);
  void OnBytesReceived(const TargetId& target, TimePoint now) {
    liveness_.OnBytesReceived(target, now);
  }
  // Whether control nodes report that the target responds to nobody.
  bool IsUnresponsive(const TargetId& target) const;
  // Whether requests at the target should be moved: it is slow, and another
  // target has a free slot.
  bool ShouldMoveRequests(const TargetId& target,
                          const std::set<TargetId>& tried,
                          TimePoint now) const;
  // Whether the target is silent while others of its service respond.
  bool IsSuspect(const TargetId& target, TimePoint now) const {
    return liveness_.IsSuspect(target, now);
  }
  // Whether the service has continued to respond although one connection has
  // been silent.
  bool HasProgressed(const ServiceId& service,
                     TimePoint silent_since,
                     TimePoint now) const {
    return liveness_.HasProgressed(service, silent_since, now);
  }
  // Call when a part of the system, such as a control node, is reachable again.
  void OnReconnected(TimePoint now) { availability_.OnReconnected(now); }
  Availability AvailabilityOf(const ServiceId& service, TimePoint now) const {
    return availability_.AvailabilityOf(service, now);
  }
  TimePoint forming_until(const ServiceId& service) const {
    return availability_.forming_until(service);
  }

  // What may be sent to targets that may be cold.
  cold_targets::ColdStartLimiter& cold_starts() { return cold_starts_; }
  const cold_targets::ColdStartLimiter& cold_starts() const {
    return cold_starts_;
  }
  // Time until a ready target of `service` takes one more request from this
  // gateway although it may be cold; nothing if none will.
  std::optional<Duration> TimeUntilColdStart(const ServiceId& service,
                                             TimePoint now) const;
  // Number of ready targets that are cold, as they announce.
  std::size_t CountCold() const;

  // Accounts of the targets that declare a limit.
  declared_limits::LimitAccounts& limits() { return limits_; }
  const declared_limits::LimitAccounts& limits() const { return limits_; }
  // The ready targets of `service` that declare a limit, excluding `tried` and
  // those that are paused.
  struct LimitedTargets {
    std::vector<declared_limits::DeclaredLimit> targets;
    bool are_all = true;  // every ready target that is not paused has one
  };
  LimitedTargets LimitedTargetsOf(const ServiceId& service,
                                  const std::set<TargetId>& tried,
                                  TimePoint now) const;
  // If every ready target of `service` declares a limit: the time until the
  // first of them takes one more request from this gateway. Otherwise nothing.
  std::optional<Duration> TimeUntilWithinLimit(const ServiceId& service,
                                               TimePoint now) const;
  // The ready targets of `service` that have asked for a pause.
  struct PausedTargets {
    std::size_t count = 0;
    bool are_all = true;          // every ready target is paused
    Duration first_end_after{0};  // time until the first pause ends
  };
  PausedTargets PausedTargetsOf(const ServiceId& service, TimePoint now) const;
  // The number of paused targets of all services.
  std::size_t CountPaused(TimePoint now) const { return pauses_.Count(now); }

  struct Counts {
    std::size_t ready = 0;
    std::size_t leaving = 0;
    std::size_t silent = 0;
    std::uint64_t in_flight = 0;
  };
  Counts CountsOf(const ServiceId& service) const;
  // Whether a target that was chosen earlier may still be used.
  bool IsUsable(const TargetId& target) const;

 private:
  struct Target {
    TargetAnnouncement announcement;
    // What a control node that lists the target reports about it.
    struct SourceReport {
      Incarnation incarnation;
      bool is_silent = false;
    };
    std::map<std::string, SourceReport> reported_by;
    // Number of requests of this gateway.
    std::uint32_t in_flight = 0;
    // Number of requests of all other gateways, as last reported.
    double others_load = 0.0;
    TimePoint others_reported_at;
    std::uint32_t failures_in_row = 0;
    TimePoint cooldown_until;
    TimePoint full_until;
    TimePoint changed_at;

    // Whether no control node receives announcements of the known incarnation.
    bool is_silent() const;
    // Replaces the known incarnation by another one and drops its failures.
    void ResetForRestart(const TargetAnnouncement& reported);
  };

  void Merge(const std::string& source,
             const TargetRecord& record,
             TimePoint now);
  void RemoveExpired(TimePoint now);
  // How many times as long as a healthy target it takes; the maximum over all
  // sources.
  double PaceOf(const Target& target) const;
  bool IsSlow(const Target& target) const;
  bool IsWithinLimit(const Target& target, TimePoint now) const;
  // Whether the target announces that it accepts requests, in a failure domain
  // that is not evacuated.
  bool IsReady(const Target& target) const;
  // Whether the target is cold, or has not said otherwise for a while.
  bool MayBeCold(const Target& target, TimePoint now) const;
  // Whether this gateway sends a good part of what the service's targets would
  // tolerate from it if all of them were cold.
  bool AreColdPlacesScarce(const ServiceId& service, TimePoint now) const;
  bool IsPaused(const Target& target, TimePoint now) const {
    return pauses_.IsPaused(target.announcement.target,
                            target.announcement.incarnation, now);
  }
  // The cheapest target, and why others were left out.
  struct Candidate {
    Target* target = nullptr;
    double cost = 0.0;
    double load = 0.0;
    bool is_any_known = false;
    bool is_any_evacuated = false;
    bool is_any_full = false;
    bool is_any_paused = false;
    bool is_any_cold = false;
  };
  // Counts a request as sent to the candidate.
  Choice Take(const Candidate& candidate,
              const ServiceId& service,
              TimePoint now);
  // Why none of the known targets is chosen.
  static NoChoice ReasonOf(const Candidate& none);
  // Finds the cheapest target that may take a request, with or without the slow
  // ones.
  Candidate FindCheapest(const ServiceId& service,
                         const std::set<TargetId>& tried,
                         bool may_be_slow,
                         TimePoint now);
  // Whether the reported load of the target is still used.
  bool IsFresh(const Target& target, TimePoint now) const;
  // Mean number of requests of other gateways at the targets of `service` with
  // a fresh load report.
  double MeanOthersLoad(const ServiceId& service, TimePoint now) const;
  double LoadOf(const Target& target,
                double mean_others_load,
                TimePoint now) const;
  // The part of the estimated `load` that is not guessed from other targets. In
  // a pause the others have had the requests of the paused target, too, so that
  // their load says nothing about it.
  double MinLoadOf(const Target& target, double load, TimePoint now) const;
  double CostOf(const Target& target, double load, TimePoint now);
  // Recomputes which part of each group may get requests.
  void UpdateUsableShares();
  // The group that a request of `service` should go to; nothing if the service
  // has no group or one only.
  std::optional<GroupId> ChooseGroup(const ServiceId& service, TimePoint now);
  // What speaks against the target with regard to its group.
  double GroupCostOf(const Target& target,
                     const GroupId& chosen,
                     TimePoint now);

  TargetPoolOptions options_;
  Random random_;
  std::map<TargetId, Target> targets_;
  TargetLiveness liveness_{TargetLivenessOptions{}};
  GroupAvailability availability_{GroupAvailabilityOptions{}};
  declared_limits::LimitAccounts limits_{
      declared_limits::LimitAccountsOptions{}};
  TargetPauses pauses_;
  cold_targets::ColdStartLimiter cold_starts_;
  // When a control node last reported.
  TimePoint updated_at_;
  evacuation::EvacuationView evacuations_;
  group_loads::GroupLoadView group_loads_{group_loads::GroupLoadViewOptions{}};
  std::map<std::string, std::map<std::string, double>> slow_;  // by source
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_POOL_H_
