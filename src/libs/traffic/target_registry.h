// A control node's record of the targets that announce themselves to it.
//
// Targets choose the control node that they announce themselves to, so each
// node holds a part, and gateways follow all of them. The book keeps targets
// that have left: an announcement that was delayed on its way would bring a
// target back that no longer runs.
//
// What else can go wrong: a target starts again under its name and counts its
// announcements anew. Ordered by those counts alone, all that it says is taken
// for late until it has said as much as before, and one that had left is shut
// out for good. So announcements are ordered by incarnation first. A clock that
// steps back gives a new start a lower incarnation; that one is believed once
// it goes on speaking while the other is not heard.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_TRAFFIC_TARGET_REGISTRY_H_
#define LIBS_TRAFFIC_TARGET_REGISTRY_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libs/base/time.h"
#include "libs/traffic/target_announcement.h"

namespace bilberryspool::traffic {

struct TargetRegistryOptions {
  // A target that was not heard for this long counts as silent.
  Duration silence_timeout = Seconds(4);
  // How long a start of a lower incarnation has to go on speaking before it is
  // taken for the present one. Targets announce themselves every 1.2 s, so the
  // other would have been heard twice.
  Duration restart_confirmation = Seconds(3);
  // A target that left or fell silent is remembered for this long.
  Duration retention = Seconds(120);
  // More records than this are not kept; the oldest of those that left go
  // first. Bounds the memory that announcements can take.
  std::size_t max_records = 20'000;
};

struct TargetRecord {
  TargetAnnouncement announcement;
  // Not heard of for a while: perhaps dead, perhaps cut off, perhaps it
  // announces itself to another control node now.
  bool is_silent = false;
  // When the record last changed, on the book's own count of changes.
  std::uint64_t revision = 0;
  TimePoint heard_at;
};

class TargetRegistry {
 public:
  explicit TargetRegistry(TargetRegistryOptions options) : options_(options) {}

  // Returns whether the announcement changed what gateways have to know.
  bool Announce(const TargetAnnouncement& announcement, TimePoint now);
  // The target says that it ends. The same return value. Where the target does
  // not tell its incarnation, the one known is meant.
  bool Withdraw(const TargetId& target, Incarnation incarnation, TimePoint now);
  // Returns whether a target fell silent.
  bool Tick(TimePoint now);

  // The records that changed after `revision`.
  std::vector<TargetRecord> ChangedSince(std::uint64_t revision) const;
  std::uint64_t revision() const { return revision_; }
  const std::map<TargetId, TargetRecord>& records() const { return records_; }

 private:
  // A start of a lower incarnation than the one known.
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
