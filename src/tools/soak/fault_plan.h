// A plan of faults drawn from a seed. Faults may overlap.

#ifndef TOOLS_SOAK_FAULT_PLAN_H_
#define TOOLS_SOAK_FAULT_PLAN_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "libs/base/time.h"

namespace bilberryspool::soak {

enum class FaultKind {
  kKillControl,     // SIGKILL, later restarted with its data folder
  kWipeControl,     // the same, with the data folder deleted
  kFreezeControl,   // SIGSTOP, later SIGCONT
  kStopControl,     // SIGTERM, later restarted
  kCutControl,      // unreachable for others, but can reach them
  kSilenceControl,  // existing connections to it go silent, new ones work
  kDelayControl,    // everything sent to it is delayed
  kKillAllControl,  // all at the same time; data folders are kept
  kKillGateway,
  kFreezeGateway,
  kStopGateway,    // planned
  kReloadGateway,  // SIGHUP
  kCrashTarget,    // resets and refuses connections, no announcements, then
                   // restarts
  kCutTarget,      // can reach control nodes, connections to it go silent
  kSilenceTarget,
  kResetTarget,  // connections are reset repeatedly
  kDelayTarget,
  kOneWayTarget,  // receives requests, its answers are lost
  kDrainTarget,   // planned: leaves, then restarts
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
// Whether the fault is planned work, which must interrupt no request.
bool IsPlanned(FaultKind kind);

// One planned fault.
struct FaultEvent {
  FaultKind kind = FaultKind::kKillControl;
  std::uint32_t victim = 0;  // number within its class, from 0
  Duration at{};             // since the start of the run
  Duration length{};         // until it is undone

  Duration end() const { return at + length; }
  std::string ToText() const;
};

struct FaultPlanOptions {
  std::uint64_t seed = 1;
  Duration length = Seconds(30);
  std::uint32_t controls = 3;
  std::uint32_t gateways = 2;
  std::uint32_t targets = 4;
  // Time after its restart during which a control node still counts as lost.
  Duration catch_up = Seconds(4);
};

// Draws a plan, sorted by time. No two faults of the same victim overlap, and
// at most one control node is lost at a time, unless all are killed at once.
std::vector<FaultEvent> MakePlan(const FaultPlanOptions& options);

}  // namespace bilberryspool::soak

#endif  // TOOLS_SOAK_FAULT_PLAN_H_
