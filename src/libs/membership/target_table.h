#ifndef LIBS_MEMBERSHIP_TARGET_TABLE_H_
#define LIBS_MEMBERSHIP_TARGET_TABLE_H_

#include <map>
#include <optional>
#include <vector>

#include "libs/base/time.h"
#include "libs/membership/domain_watch.h"
#include "libs/membership/target_record.h"

namespace bilberryspool::membership {

struct TargetTableOptions {
  // Silence after which a target is suspected, and after which it is gone.
  Duration suspect_after = Seconds(3);
  Duration gone_after = Seconds(8);
  // Time for which a target that left or is gone is retained, so that old
  // messages that arrive late do not bring it back.
  Duration target_retention = Seconds(300);
  FlapOptions flaps;
};

// How a merged message compares with the known state.
enum class MergeOutcome { kNew, kNewer, kSame, kOlder };

struct MergeResult {
  MergeOutcome outcome = MergeOutcome::kSame;
  // Description of the losing process if two live processes claimed the
  // identity.
  std::optional<Announcement> conflict;
};

// Targets known to an entry. Merging takes the maximum of (claim, sequence) and
// of (claim, heartbeat_number), so all entries that received the same updates
// agree, regardless of the order.
class TargetTable {
 public:
  explicit TargetTable(TargetTableOptions options) : options_(options) {}

  // `age` is the time since the agent was last seen.
  MergeResult MergeAnnouncement(const Announcement& announcement,
                                const Stamp& stamp,
                                Duration age,
                                TimePoint now);
  // Merges a heartbeat that an agent sent to this entry. `new_stamp` is its
  // stamp for the gossip exchanges, if it is to be shared now. kNewer means
  // that the description is missing or outdated here.
  MergeOutcome MergeHeartbeat(const Heartbeat& heartbeat,
                              const std::optional<Stamp>& new_stamp,
                              TimePoint now);
  // Merges a heartbeat that another entry shared. kNewer means that the
  // description is missing or outdated here.
  MergeOutcome MergeHeartbeatUpdate(const HeartbeatUpdate& update,
                                    TimePoint now);

  // Classifies the liveness of one target. Returns whether it changed.
  bool UpdateLiveness(TargetRecord* record,
                      const DomainState& domain,
                      const RefreshTiming& timing,
                      TimePoint now) const;
  // Removes targets that left or are gone and exceeded `target_retention`.
  void RemoveExpired(TimePoint now);
  // Removes the targets of all other domains.
  void KeepOnly(const FailureDomain& domain);

  // Returns nullptr if the target is unknown.
  TargetRecord* Find(const TargetId& target);
  std::map<TargetId, TargetRecord>& records() { return records_; }
  const std::map<TargetId, TargetRecord>& records() const { return records_; }

 private:
  Liveness Classify(const TargetRecord& record,
                    const DomainState& domain,
                    const RefreshTiming& timing,
                    TimePoint now) const;

  TargetTableOptions options_;
  std::map<TargetId, TargetRecord> records_;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_TARGET_TABLE_H_
