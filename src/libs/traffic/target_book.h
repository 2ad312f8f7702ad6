// A control node's record of the targets that announce themselves to it.
//
// Targets choose the control node that they announce themselves to, so each
// node holds a part, and gateways follow all of them. The book keeps targets
// that have left: an announcement that was delayed on its way would bring a
// target back that no longer runs.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_TRAFFIC_TARGET_BOOK_H_
#define LIBS_TRAFFIC_TARGET_BOOK_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libs/base/time.h"
#include "libs/traffic/target_announcement.h"

namespace bilberryspool::traffic {

struct TargetBookOptions {
  // A target that was not heard for this long counts as silent.
  Duration silence = Seconds(4);
  // A target that left or fell silent is remembered for this long.
  Duration memory = Seconds(120);
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

class TargetBook {
 public:
  explicit TargetBook(TargetBookOptions options) : options_(options) {}

  // Returns whether the announcement changed what gateways have to know.
  bool Announce(const TargetAnnouncement& announcement, TimePoint now);
  // The target says that it ends. The same return value.
  bool Withdraw(const TargetId& target, TimePoint now);
  // Returns whether a target fell silent.
  bool Tick(TimePoint now);

  // The records that changed after `revision`.
  std::vector<TargetRecord> ChangedSince(std::uint64_t revision) const;
  std::uint64_t revision() const { return revision_; }
  const std::map<TargetId, TargetRecord>& records() const { return records_; }

 private:
  void Forget(TimePoint now);

  TargetBookOptions options_;
  std::map<TargetId, TargetRecord> records_;
  std::uint64_t revision_ = 0;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_BOOK_H_
