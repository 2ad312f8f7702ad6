// Which faults strike when: overlapping series, drawn from a seed.

#ifndef TOOLS_SOAK_FAULT_PLAN_H_
#define TOOLS_SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/time.h"

namespace bilberryspool::soak {

enum class FaultKind {
  kKillControl,     // SIGKILL, back after a moment with its folder
  kWipeControl,     // the same, and the folder is lost
  kFreezeControl,   // SIGSTOP, SIGCONT
  kStopControl,     // SIGTERM, back after a moment
  kCutControl,      // nobody reaches it, it reaches the others
  kSilenceControl,  // present connections to it go silent, new ones work
  kDelayControl,    // all that is sent to it comes late
  kKillAllControl,  // all of them at one moment; folders are kept
  kKillGateway,
  kFreezeGateway,
  kStopGateway,    // planned
  kReloadGateway,  // SIGHUP
  kCrashTarget,    // resets, refuses and says nothing, then a new start
  kCutTarget,      // reaches control, callers of it get silence
  kSilenceTarget,
  kResetTarget,  // connections break off, again and again
  kDelayTarget,
  kOneWayTarget,  // hears requests, its answers are lost
  kDrainTarget,   // planned: leaves, then a new start
};

constexpr FaultKind kAllFaultKinds[] = {
    FaultKind::kKillControl,   FaultKind::kWipeControl,
    FaultKind::kFreezeControl, FaultKind::kStopControl,
    FaultKind::kCutControl,    FaultKind::kSilenceControl,
    FaultKind::kDelayControl,  FaultKind::kKillAllControl,
    FaultKind::kKillGateway,   FaultKind::kFreezeGateway,
    FaultKind::kStopGateway,   FaultKind::kReloadGateway,
    FaultKind::kCrashTarget,   FaultKind::kCutTarget,
    FaultKind::kSilenceTarget, FaultKind::kResetTarget,
    FaultKind::kDelayTarget,   FaultKind::kOneWayTarget,
    FaultKind::kDrainTarget,
};

enum class VictimClass { kControl, kGateway, kTarget };

std::string_view NameOf(FaultKind kind);
VictimClass ClassOf(FaultKind kind);
// Planned work must cut off nothing.
bool IsPlanned(FaultKind kind);

// One fault: `victim` counts from 0 in its class.
struct FaultEvent {
  FaultKind kind = FaultKind::kKillControl;
  std::uint32_t victim = 0;
  Duration at{};      // since the start of the play
  Duration length{};  // until it is undone

  Duration end() const { return at + length; }
  std::string ToText() const;
};

struct FaultPlanOptions {
  std::uint64_t seed = 1;
  Duration length = Seconds(30);
  std::uint32_t controls = 3;
  std::uint32_t gateways = 2;
  std::uint32_t targets = 4;
  // How long a control node counts as lost after it is back.
  Duration catch_up = Seconds(4);
};

// Sorted by time. No two faults strike one victim at a time, and one control
// node at most is lost at a time, but where all are killed at once.
std::vector<FaultEvent> MakePlan(const FaultPlanOptions& options);

}  // namespace bilberryspool::soak

#endif  // TOOLS_SOAK_FAULT_PLAN_H_
