// A control node's registry of the targets that announce themselves to it.
//
// Each target chooses the control node that it announces itself to, so each
// node has a part of the targets and gateways follow all nodes. The registry
// keeps targets that have left, because a delayed announcement would otherwise
// bring back a target that no longer runs.
//
// A target that restarts under the same name starts its announcement sequence
// again. Ordered by the sequence alone, its announcements would count as late
// until the sequence passes the old one, and a target that had left would be
// excluded for good. Therefore announcements are ordered by incarnation first.
// A clock that steps back gives a new start a lower incarnation; that one is
// accepted once it continues to send announcements while none arrive from the
// other.
//
// Pure: takes events and `now`, has no input or output.

#ifndef LIBS_TRAFFIC_TARGET_REGISTRY_H_
#define LIBS_TRAFFIC_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libs/base/time.h"
#include "libs/traffic/target_announcement.h"

namespace bilberryspool::traffic {

struct TargetRegistryOptions {
  // A target counts as silent after this time without an announcement.
  Duration silence_timeout = Seconds(4);
  // How long a start with a lower incarnation has to continue its announcements
  // before it is accepted as the current one. Targets announce themselves every
  // 1.2 s, so two announcements of the other start would have arrived.
  Duration restart_confirmation = Seconds(3);
  // How long a target that left or became silent is kept.
  Duration retention = Seconds(120);
  // Maximum number of records; those that were updated longest ago are removed
  // first. Bounds the memory that announcements can use.
  std::size_t max_records = 20'000;
};

struct TargetRecord {
  TargetAnnouncement announcement;
  // No announcement for a while: the target may have terminated, be
  // disconnected, or announce itself to another control node now.
  bool is_silent = false;
  // The registry's revision at the last change of the record.
  std::uint64_t revision = 0;
  // When the last announcement or withdrawal was received.
  TimePoint heard_at;
};

class TargetRegistry {
 public:
  explicit TargetRegistry(TargetRegistryOptions options) : options_(options) {}

  // Returns whether the announcement changed anything that gateways depend on.
  bool Announce(const TargetAnnouncement& announcement, TimePoint now);
  // Handles the notice of a target that it terminates; the known incarnation is
  // meant if none is given. Returns the same as Announce().
  bool Withdraw(const TargetId& target, Incarnation incarnation, TimePoint now);
  // Handles the news that a run of a target leaves, whether or not the target
  // has announced itself here. Returns the same as Announce().
  bool OnLeaving(const TargetRun& run, TimePoint now);
  // Removes expired records. Returns whether a target became silent.
  bool Tick(TimePoint now);

  // Records that changed after `revision`.
  std::vector<TargetRecord> ChangedSince(std::uint64_t revision) const;
  std::uint64_t revision() const { return revision_; }
  const std::map<TargetId, TargetRecord>& records() const { return records_; }

 private:
  // A start with a lower incarnation than the known one, which may be a restart
  // after the clock has stepped back.
  struct RestartCandidate {
    Incarnation incarnation;
    std::uint64_t sequence = 0;
    TimePoint first_received_at;
  };

  bool IsRestart(const TargetRecord& known,
                 const TargetAnnouncement& announcement,
                 TimePoint now);
  void RemoveExpired(TimePoint now);

  TargetRegistryOptions options_;
  std::map<TargetId, TargetRecord> records_;
  std::map<TargetId, RestartCandidate> restart_candidates_;
  std::uint64_t revision_ = 0;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_REGISTRY_H_
