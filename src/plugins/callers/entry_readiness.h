// Decides when an entry that has just started reports ready.
//
// Guards against callers that are sent to such an entry and refused: it does
// not know a target of each service yet, or no majority of the holders of
// claims votes for it, without which it cannot run non-idempotent requests. An
// entry that is cut off from some of them must serve what it can, so it reports
// ready after a maximum wait in any case.
//
// Takes events and `now` as input and does no I/O.

#ifndef PLUGINS_CALLERS_ENTRY_READINESS_H_
#define PLUGINS_CALLERS_ENTRY_READINESS_H_

#include <optional>
#include <set>
#include <string_view>
#include <vector>

#include "libs/attempts/roster.h"
#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::callers {

struct EntryReadinessOptions {
  // Maximum wait since the configuration is known. Gossip delivers the targets
  // of other failure domains within a few rounds of 0.7 s each.
  Duration max_wait = Seconds(5);
};

// The first input that an entry needs before it is ready and does not have.
enum class MissingInput {
  kNothing,
  kConfiguration,
  kTargets,
  kRoster,
  kVotes,
};

std::string_view ToString(MissingInput missing);

class EntryReadiness {
 public:
  explicit EntryReadiness(EntryReadinessOptions options) : options_(options) {}

  // The services that the configuration allows on some target.
  void SetAllowed(std::set<ServiceId> services, TimePoint now);
  // The services that some known target serves.
  void SetServed(std::set<ServiceId> services);
  // Sets a newer roster; votes under an older one no longer count.
  void SetRoster(const attempts::Roster& roster);
  // Records whether the holder votes on claims under that roster.
  void SetVote(const NodeId& holder,
               attempts::RosterVersion version,
               bool votes);

  MissingInput FirstMissing() const;
  // An entry that was ready stays ready: a later failure of one input is no
  // reason to stop serving with the others.
  bool IsReady(TimePoint now);
  // The holders that have not confirmed yet that they vote.
  std::vector<NodeId> HoldersWithoutVote() const;
  attempts::RosterVersion roster() const { return roster_.version; }

 private:
  bool AreAllKeysClaimable() const;

  EntryReadinessOptions options_;
  std::optional<TimePoint> configured_at_;
  std::set<ServiceId> allowed_;
  std::optional<std::set<ServiceId>> served_;
  attempts::Roster roster_;
  std::set<NodeId> voting_;
  bool is_ready_ = false;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_ENTRY_READINESS_H_
