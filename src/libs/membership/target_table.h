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
  Duration suspect_after = Seconds(3);
  Duration gone_after = Seconds(8);
  // How long a target that left or is gone is remembered, so that late older
  // messages do not bring it back.
  Duration target_retention = Seconds(300);
  FlapOptions flaps;
};

enum class MergeOutcome { kNew, kNewer, kSame, kOlder };

struct MergeResult {
  MergeOutcome outcome = MergeOutcome::kSame;
  // Another process that held the identity and was live: the loser's
  // description.
  std::optional<Announcement> conflict;
};

// The targets an entry knows. Merging is the maximum by (claim, sequence) and
// (claim, beat), so all entries that heard the same news agree, in whatever
// order it came.
class TargetTable {
 public:
  explicit TargetTable(TargetTableOptions options) : options_(options) {}

  // `age` is how long ago its agent was heard.
  MergeResult MergeAnnouncement(const Announcement& announcement,
                                const Stamp& stamp,
                                Duration age,
                                TimePoint now);
  // Takes in a heartbeat that an agent sent to this entry itself. `told` is
  // the number under which the other entries hear of it, if they should now.
  MergeOutcome MergeHeartbeat(const Heartbeat& heartbeat,
                              const std::optional<Stamp>& new_stamp,
                              TimePoint now);
  // Takes in a heartbeat that another entry passed on. kNewer stands for a
  // description that is missing or outdated here.
  MergeOutcome MergeHeartbeatUpdate(const HeartbeatUpdate& update,
                                    TimePoint now);

  // Judges the liveness of one target; true where it changed.
  bool UpdateLiveness(TargetRecord* record,
                      const DomainState& domain,
                      const RefreshTiming& timing,
                      TimePoint now) const;
  void RemoveExpired(TimePoint now);
  void KeepOnly(const FailureDomain& domain);

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
