// The departures of targets that the leader of the control replicas has to
// propose to the log.
//
// When many targets leave at the same time, an entry of the log for each would
// take a write and a sync of the disk each. All departures that wait while one
// change is being written therefore go into the next one.
//
// Pure: takes events and `now`, has no input or output.

#ifndef LIBS_TRAFFIC_DEPARTURE_QUEUE_H_
#define LIBS_TRAFFIC_DEPARTURE_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>

#include "libs/base/target_run.h"
#include "libs/base/time.h"
#include "libs/traffic/departure_registry.h"

namespace bilberryspool::traffic {

struct DepartureQueueOptions {
  // How long departures are kept. Longer than any target serves after it has
  // announced that it leaves, and as long as gateways keep its record.
  Duration retention = Seconds(120);
  // Minimum time between two changes that only remove departures.
  Duration removal_interval = Seconds(30);
  // Maximum number of departures in one change.
  std::size_t max_runs = 500;
};

class DepartureQueue {
 public:
  explicit DepartureQueue(DepartureQueueOptions options) : options_(options) {}

  void Add(const TargetRun& run) { waiting_.insert(run); }
  void Clear() { waiting_.clear(); }

  // Returns the next change to propose, given what the log already holds;
  // nothing if no departure waits and there is nothing to remove.
  std::optional<DepartureRegistry::Change> NextChange(
      const DepartureRegistry& saved,
      TimePoint now);
  // Call when departures up to `revision` were applied.
  void OnApplied(std::uint64_t revision, TimePoint now);

 private:
  struct Applied {
    std::uint64_t revision = 0;
    TimePoint at;
  };

  void Expire(TimePoint now);

  DepartureQueueOptions options_;
  std::set<TargetRun> waiting_;
  std::deque<Applied> applied_;  // the earliest first
  // All departures up to this revision have been kept for the retention.
  std::uint64_t expired_revision_ = 0;
  TimePoint last_removal_at_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_DEPARTURE_QUEUE_H_
