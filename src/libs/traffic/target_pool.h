// A gateway's picture of the targets: which there are, how they do, and which
// one takes the next request.
//
// Control nodes each tell of the targets that announce themselves to them; the
// pool joins what they say. Beside what targets claim, it counts what they do:
// failed sends make a target wait for its next request, longer each time, and
// the first success ends that.
//
// Pure: events and `now` in, decisions out.

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
#include "libs/declared_limits/limit_accounts.h"
#include "libs/traffic/group_availability.h"
#include "libs/traffic/target_liveness.h"
#include "libs/traffic/target_registry.h"

namespace bilberryspool::traffic {

// SourceReport as the pace of a target that answers nobody, slower than any
// that works.
constexpr double kUnresponsivePace = 1000.0;

struct TargetPoolOptions {
  FailureDomain domain;
  // A target that failed is not chosen for this long, twice as long at each
  // further failure in a row, while there are others.
  Duration initial_cooldown = Milliseconds(250);
  Duration max_cooldown = Seconds(4);
  // A reported load counts for this long; after that the mean of those that
  // are still fresh stands for it.
  Duration load_freshness = Milliseconds(1500);
  // A target that refused as full is asked for nothing more for this long: a
  // batch lets a place go every few steps.
  Duration full_cooldown = Milliseconds(200);
  // Requests that may be at a target, as a multiple of its slots; beyond this
  // on every target a request is refused at once.
  double max_load_factor = 1.25;
  // Records of targets that left are kept for this long: a control node that
  // was cut off may still tell of them.
  Duration retention = Seconds(120);
};

// What a request ended with, as far as it tells of its target.
enum class TargetOutcome {
  kGood,      // answered, whatever the answer
  kFull,      // refused as full
  kFailed,    // unreachable, silent, broke off, or answered a failure
  kReplaced,  // another target answers at the address
};

struct Choice {
  TargetId target;
  Incarnation incarnation;
  std::string address;
  // What decided: requests thought to be there, and of how many slots.
  double load = 0.0;
  std::uint32_t slots = 0;
};

// Why no target was chosen.
enum class NoChoice {
  kNone,        // no target of the service is known
  kFull,        // all of them have as much as they may
  kInCooldown,  // all that are left have failed lately
};

using ChoiceOutcome = std::variant<Choice, NoChoice>;

class TargetPool {
 public:
  TargetPool(TargetPoolOptions options, std::uint64_t seed);

  // What the control node `source` tells. With `is_whole` it is all that the
  // source knows, and what it told before is forgotten: the source has started
  // anew.
  void Update(const std::string& source,
              bool is_whole,
              const std::vector<TargetRecord>& records,
              TimePoint now);

  // The targets that `source` has found too slow to be given requests, by
  // address, with how many times as long as a healthy one they take.
  void SetSlow(const std::string& source,
               std::map<std::string, double> by_address);

  // A target of `service` for one more request, not one of `tried`. It counts
  // as sent there from now on: each Choice is followed by one OnEnded().
  ChoiceOutcome Choose(const ServiceId& service,
                       const std::set<TargetId>& tried,
                       TimePoint now);
  void OnEnded(const TargetId& target, TargetOutcome outcome, TimePoint now);
  // The load that an answer of the target told.
  void OnLoad(const TargetId& target,
              std::uint32_t running,
              std::uint32_t waiting,
              TimePoint now);

  // The first byte of a good answer came, so long after it was asked for.
  void OnFirstByte(const TargetId& target, Duration waited, TimePoint now);
  void OnBytesReceived(const TargetId& target, TimePoint now) {
    liveness_.OnBytesReceived(target, now);
  }
  // Whether control nodes tell that the target answers nobody.
  bool IsUnresponsive(const TargetId& target) const;
  // Whether its requests had better go on elsewhere: it is slow, and another
  // target has a slot free.
  bool ShouldMoveRequests(const TargetId& target,
                          const std::set<TargetId>& tried,
                          TimePoint now) const;
  // Whether it has fallen silent while others of its service answer.
  bool IsSuspect(const TargetId& target, TimePoint now) const {
    return liveness_.IsSuspect(target, now);
  }
  // Whether the service has gone on though one connection has been quiet.
  bool HasProgressed(const ServiceId& service,
                     TimePoint silent_since,
                     TimePoint now) const {
    return liveness_.HasProgressed(service, silent_since, now);
  }
  // A part of the system is reachable again.
  void OnReconnected(TimePoint now) { availability_.OnReconnected(now); }
  Availability AvailabilityOf(const ServiceId& service, TimePoint now) const {
    return availability_.AvailabilityOf(service, now);
  }
  TimePoint forming_until(const ServiceId& service) const {
    return availability_.forming_until(service);
  }

  // What may be sent to targets that declare a limit.
  declared_limits::LimitAccounts& limits() { return limits_; }
  const declared_limits::LimitAccounts& limits() const { return limits_; }
  // Targets of `service` that are ready and declare a limit, not of `tried`.
  struct LimitedTargets {
    std::vector<declared_limits::DeclaredLimit> targets;
    bool are_all = true;  // none that is ready declares no limit
  };
  LimitedTargets LimitedTargetsOf(const ServiceId& service,
                                  const std::set<TargetId>& tried) const;
  // Where every target of `service` that is ready declares a limit: until the
  // first of them takes one more request from this gateway.
  std::optional<Duration> TimeUntilWithinLimit(const ServiceId& service,
                                               TimePoint now) const;

  struct Counts {
    std::size_t ready = 0;
    std::size_t leaving = 0;
    std::size_t silent = 0;
    std::uint64_t in_flight = 0;
  };
  Counts CountsOf(const ServiceId& service) const;
  // Whether a target that was chosen may still be used.
  bool IsUsable(const TargetId& target) const;

 private:
  struct Target {
    TargetAnnouncement announcement;
    // What control nodes that list the target tell of it.
    struct SourceReport {
      Incarnation incarnation;
      bool is_silent = false;
    };
    std::map<std::string, SourceReport> reported_by;
    // Requests of this gateway.
    std::uint32_t in_flight = 0;
    // Requests of all others, when last reported.
    double others_load = 0.0;
    TimePoint others_reported_at;
    std::uint32_t failures_in_row = 0;
    TimePoint cooldown_until;
    TimePoint full_until;
    TimePoint changed_at;

    // No control node hears the incarnation that is known.
    bool is_silent() const;
    // Another incarnation has taken the place of the one that was known.
    void ResetForRestart(const TargetAnnouncement& reported);
  };

  void Merge(const std::string& source,
             const TargetRecord& record,
             TimePoint now);
  void RemoveExpired(TimePoint now);
  double PaceOf(const Target& target) const;
  bool IsSlow(const Target& target) const;
  bool IsWithinLimit(const Target& target, TimePoint now) const;
  // Choose() among all, or among those that are not slow.
  struct Candidate {
    Target* target = nullptr;
    double cost = 0.0;
    double load = 0.0;
    bool is_any_known = false;
    bool is_any_full = false;
  };
  Candidate FindCheapest(const ServiceId& service,
                         const std::set<TargetId>& tried,
                         bool may_be_slow,
                         TimePoint now);
  bool IsFresh(const Target& target, TimePoint now) const;
  // Requests of others at a target of `service`, on the mean of those that
  // told lately.
  double MeanOthersLoad(const ServiceId& service, TimePoint now) const;
  double LoadOf(const Target& target,
                double mean_others_load,
                TimePoint now) const;
  double CostOf(const Target& target, double load, TimePoint now);

  TargetPoolOptions options_;
  Random random_;
  std::map<TargetId, Target> targets_;
  TargetLiveness liveness_{TargetLivenessOptions{}};
  GroupAvailability availability_{GroupAvailabilityOptions{}};
  declared_limits::LimitAccounts limits_{
      declared_limits::LimitAccountsOptions{}};
  std::map<std::string, std::map<std::string, double>> slow_;  // by source
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_POOL_H_
