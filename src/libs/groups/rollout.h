// Rolls out a model version, adapter or role to the targets of a service.
//
// A target is prepared, then switched, like a map: it prepares while it keeps
// serving with its current version. Guards against a change that takes a
// service down: targets are switched a few at a time and only while enough
// others serve, and the rollout stops automatically when switched targets fail.

#ifndef LIBS_GROUPS_ROLLOUT_H_
#define LIBS_GROUPS_ROLLOUT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::groups {

struct RolloutOptions {
  std::uint32_t max_preparing = 2;  // at a time
  std::uint32_t max_switching = 1;  // at a time, including settling targets
  std::uint32_t min_serving = 1;    // other than the target to be switched
  std::uint32_t max_failures = 1;   // this number stops the rollout
  double max_error_share = 0.05;    // of the requests of a switched target
  // How long a switched target is monitored.
  Duration settle_time = Seconds(30);
  Duration timeout = Seconds(600);  // of one preparation or switch
};

// The target holds the new version in addition to the old one.
struct TargetPrepared {
  TargetId target;
};
// The target serves with the new version.
struct TargetSwitched {
  TargetId target;
};
struct TargetFailed {
  TargetId target;
  std::string why;
};
// Share of requests that recently failed at the target.
struct TargetErrors {
  TargetId target;
  double share = 0;
};
struct TargetServing {
  TargetId target;
  bool serving = false;
};
struct RolloutTick {};

using RolloutEvent = std::variant<TargetPrepared,
                                  TargetSwitched,
                                  TargetFailed,
                                  TargetErrors,
                                  TargetServing,
                                  RolloutTick>;

struct PrepareTarget {
  TargetId target;
};
struct SwitchTarget {
  TargetId target;
};
struct RolloutDone {};
// Targets that were not switched keep their current version.
struct RolloutStopped {
  std::string why;
};

using RolloutAction =
    std::variant<PrepareTarget, SwitchTarget, RolloutDone, RolloutStopped>;

enum class RolloutStage {
  kWaiting,
  kPreparing,
  kPrepared,
  kSwitching,
  kSettling,
  kDone,
  kFailed
};

class Rollout {
 public:
  // All targets are assumed to serve until a `TargetServing` says otherwise.
  Rollout(RolloutOptions options, const std::vector<TargetId>& targets);

  std::vector<RolloutAction> Handle(const RolloutEvent& event, TimePoint now);
  std::optional<TimePoint> next_deadline() const;

  bool running() const { return running_; }
  // `target` must belong to the rollout.
  RolloutStage stage_of(const TargetId& target) const {
    return targets_.at(target).stage;
  }

 private:
  struct Target {
    RolloutStage stage = RolloutStage::kWaiting;
    TimePoint since;
    bool serving = true;
  };
  using Actions = std::vector<RolloutAction>;

  Target* Find(const TargetId& target);
  void ApplyEvent(const RolloutEvent& event, TimePoint now);
  void Enter(Target& target, RolloutStage stage, TimePoint now);
  void Fail(Target& target, const std::string& why);
  void CheckDeadlines(TimePoint now);
  void Advance(TimePoint now, Actions& out);
  std::uint32_t Count(RolloutStage stage) const;
  bool MaySwitch(const Target& target) const;

  RolloutOptions options_;
  std::map<TargetId, Target> targets_;
  std::uint32_t failures_ = 0;
  std::string why_;
  bool running_ = true;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_ROLLOUT_H_
