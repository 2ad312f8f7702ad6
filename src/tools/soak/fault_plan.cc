#include "tools/soak/fault_plan.h"

#include <algorithm>

#include "libs/base/random.h"

namespace bilberryspool::soak {

namespace {

constexpr Duration kMinGap = Milliseconds(200);
constexpr Duration kMaxGap = Milliseconds(2200);
// Probability of a run with few faults, which also tests the guarantees that
// only hold while no other fault is active.
constexpr double kSparseProbability = 0.4;
constexpr Duration kMaxSparseGap = Seconds(7);
constexpr Duration kMinFaultDuration = Milliseconds(300);
constexpr Duration kMaxFaultDuration = Milliseconds(4500);
// Long enough for a planned stop and a start after it.
constexpr Duration kPlannedDuration = Seconds(6);

bool Overlap(const FaultEvent& left, const FaultEvent& right, Duration margin) {
  return left.at < right.end() + margin && right.at < left.end() + margin;
}

// Whether the fault removes a control node from the voters.
bool RemovesControlNode(FaultKind kind) {
  return ClassOf(kind) == VictimClass::kControl;
}

bool Fits(const FaultEvent& fault_event,
          const std::vector<FaultEvent>& others,
          Duration catch_up) {
  return std::none_of(
      others.begin(), others.end(), [&](const FaultEvent& other) {
        if (RemovesControlNode(fault_event.kind) &&
            RemovesControlNode(other.kind)) {
          return Overlap(fault_event, other, catch_up);
        }
        const bool same_victim =
            ClassOf(fault_event.kind) == ClassOf(other.kind) &&
            fault_event.victim == other.victim;
        return same_victim && Overlap(fault_event, other, Duration::zero());
      });
}

std::uint32_t VictimsOf(VictimClass victims, const FaultPlanOptions& options) {
  switch (victims) {
    case VictimClass::kControl:
      return options.controls;
    case VictimClass::kGateway:
      return options.gateways;
    case VictimClass::kTarget:
      return options.targets;
  }
  return 1;
}

}  // namespace

std::string_view NameOf(FaultKind kind) {
  switch (kind) {
    case FaultKind::kKillControl:
      return "kill_control";
    case FaultKind::kWipeControl:
      return "wipe_control";
    case FaultKind::kFreezeControl:
      return "freeze_control";
    case FaultKind::kStopControl:
      return "stop_control";
    case FaultKind::kCutControl:
      return "cut_control";
    case FaultKind::kSilenceControl:
      return "silence_control";
    case FaultKind::kDelayControl:
      return "delay_control";
    case FaultKind::kKillAllControl:
      return "kill_all_control";
    case FaultKind::kKillGateway:
      return "kill_gateway";
    case FaultKind::kFreezeGateway:
      return "freeze_gateway";
    case FaultKind::kStopGateway:
      return "stop_gateway";
    case FaultKind::kReloadGateway:
      return "reload_gateway";
    case FaultKind::kCrashTarget:
      return "crash_target";
    case FaultKind::kCutTarget:
      return "cut_target";
    case FaultKind::kSilenceTarget:
      return "silence_target";
    case FaultKind::kResetTarget:
      return "reset_target";
    case FaultKind::kDelayTarget:
      return "delay_target";
    case FaultKind::kOneWayTarget:
      return "one_way_target";
    case FaultKind::kDrainTarget:
      return "drain_target";
  }
  return "unknown";
}

VictimClass ClassOf(FaultKind kind) {
  if (kind <= FaultKind::kKillAllControl) {
    return VictimClass::kControl;
  }
  return kind <= FaultKind::kReloadGateway ? VictimClass::kGateway
                                           : VictimClass::kTarget;
}

bool IsPlanned(FaultKind kind) {
  return kind == FaultKind::kStopControl || kind == FaultKind::kStopGateway ||
         kind == FaultKind::kReloadGateway || kind == FaultKind::kDrainTarget;
}

std::string FaultEvent::ToText() const {
  constexpr int kMicrosecondsPerMs = 1000;
  return std::string(NameOf(kind)) + " victim=" + std::to_string(victim) +
         " at_ms=" + std::to_string(at.count() / kMicrosecondsPerMs) +
         " length_ms=" + std::to_string(length.count() / kMicrosecondsPerMs);
}

std::vector<FaultEvent> MakePlan(const FaultPlanOptions& options) {
  Random random(options.seed);
  std::vector<FaultEvent> plan;
  const Duration max_gap =
      random.Chance(kSparseProbability) ? kMaxSparseGap : kMaxGap;
  Duration at = random.Between(kMinGap, kMaxGap);
  while (at < options.length) {
    FaultEvent fault_event;
    fault_event.kind = kAllFaultKinds[random.Below(std::size(kAllFaultKinds))];
    fault_event.victim = static_cast<std::uint32_t>(
        random.Below(VictimsOf(ClassOf(fault_event.kind), options)));
    fault_event.at = at;
    fault_event.length = random.Between(kMinFaultDuration, kMaxFaultDuration);
    if (fault_event.kind == FaultKind::kStopGateway ||
        fault_event.kind == FaultKind::kDrainTarget) {
      fault_event.length = kPlannedDuration;
    }
    if (fault_event.end() < options.length &&
        Fits(fault_event, plan, options.catch_up)) {
      plan.push_back(fault_event);
    }
    at += random.Between(kMinGap, max_gap);
  }
  return plan;
}

}  // namespace bilberryspool::soak
