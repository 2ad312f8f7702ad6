#ifndef LIBS_ROUTING_TARGET_ESTIMATE_H_
#define LIBS_ROUTING_TARGET_ESTIMATE_H_

#include <cstddef>
#include <deque>

#include "libs/base/time.h"
#include "libs/routing/target_view.h"

namespace bilberryspool::routing {

// The state of a target as one entry estimates it, from the last load report
// and the attempts that the entry itself started and ended since the report was
// taken.
//
// Reports arrive late. An entry that relied on them alone would send everything
// to the target that was idle at the last report, and all entries would do so
// at once.
class TargetEstimate {
 public:
  TargetEstimate(TargetView view, TimePoint now);

  // Updates the properties of the target and keeps the entry's own counts. The
  // load report is used if it is newer than the last one.
  void Update(TargetView view, TimePoint now);
  void Report(const LoadReport& load, TimePoint now);

  void Started(TimePoint now);
  void Ended(TimePoint now);

  const TargetView& view() const { return view_; }
  std::size_t own_in_flight() const { return own_in_flight_; }
  double reported_load() const;
  // Reported load plus own attempts started, minus own attempts ended, since
  // the report was taken; never below the number of own attempts in flight.
  double corrected_load() const;
  // Time since the report was taken.
  Duration report_age(TimePoint now) const { return now - taken_at_; }
  // Reported load without the share of this entry.
  double load_of_others() const;

  // Number of requests that the target can run concurrently, as last reported;
  // at least 1.
  std::uint32_t limit() const;

 private:
  struct OwnChange {
    TimePoint at;
    int change = 0;
  };

  void RecordChange(int change, TimePoint now);

  TargetView view_;
  TimePoint taken_at_;
  std::size_t own_in_flight_ = 0;
  // Own attempts that are included in the last report.
  std::size_t own_at_report_ = 0;
  // Own attempts started and ended, ordered from the oldest, to be matched with
  // later reports.
  std::deque<OwnChange> changes_;
};

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_TARGET_ESTIMATE_H_
