#ifndef LIBS_ROUTING_TARGET_ESTIMATE_H_
#define LIBS_ROUTING_TARGET_ESTIMATE_H_

#include <cstddef>
#include <deque>

#include "libs/base/time.h"
#include "libs/routing/target_view.h"

namespace bilberryspool::routing {

// What one entry believes of one target: the last report, and what the entry
// itself started and ended there since the report was taken.
//
// Reports come with a lag. An entry that trusts them alone sends everything to
// the target that was idle at the last report, and all entries do so at once.
class TargetEstimate {
 public:
  TargetEstimate(TargetView view, TimePoint now);

  // Keeps own counts; takes the report where it is newer than the last one.
  void Update(TargetView view, TimePoint now);
  void Report(const LoadReport& load, TimePoint now);

  void Started(TimePoint now);
  void Ended(TimePoint now);

  const TargetView& view() const { return view_; }
  std::size_t own_in_flight() const { return own_in_flight_; }
  double reported_load() const;
  // Report plus own starts minus own ends since it was taken; never below
  // what this entry itself has there.
  double corrected_load() const;
  // How long ago the report was taken.
  Duration report_age(TimePoint now) const { return now - taken_at_; }
  // Load that others caused, as of the report.
  double load_of_others() const;

  // Requests that it can run side by side, as it last said; at least 1.
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
  // Own requests that the last report already counts.
  std::size_t own_at_report_ = 0;
  // Own starts and ends, the oldest first, for reports yet to come.
  std::deque<OwnChange> changes_;
};

}  // namespace bilberryspool::routing

#endif  // LIBS_ROUTING_TARGET_ESTIMATE_H_
