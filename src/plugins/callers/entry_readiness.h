// Whether an entry can serve each kind of work; only then it says ready.
//
// Guards against callers that are sent to an entry that has just started and
// refuses them: it knows no target of a service yet, or no majority of the
// holders of claims votes for it, without which it carries out no order. An
// entry that is cut off from some of them has to serve what it can, so it says
// ready after a while all the same.
//
// Pure: events and `now` in, decisions out.

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
  // Since the configuration is known. Gossip tells of the targets of other
  // failure domains within a few rounds of 0.7 s each.
  Duration max_wait = Seconds(5);
};

// What the entry lacks first.
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

  // The services that the configuration lets some target serve.
  void SetAllowed(std::set<ServiceId> services, TimePoint now);
  // The services that some target that is known serves.
  void SetServed(std::set<ServiceId> services);
  // A newer roster; the votes of an older one count no more.
  void SetRoster(const attempts::Roster& roster);
  // Whether the holder votes on claims under that roster.
  void SetVote(const NodeId& holder,
               attempts::RosterVersion version,
               bool votes);

  MissingInput FirstMissing() const;
  // Once ready it stays so: what fails later is no reason to lose the rest.
  bool IsReady(TimePoint now);
  // The holders that have not said yet that they vote.
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
