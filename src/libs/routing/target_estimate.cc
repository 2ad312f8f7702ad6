#include "libs/routing/target_estimate.h"

#include <algorithm>
#include <utility>

#include "libs/base/check.h"

namespace bilberryspool::routing {
namespace {

// Bounds the memory used for a target that never sends a report.
constexpr std::size_t kMaxChanges = 4096;

}  // namespace

TargetEstimate::TargetEstimate(TargetView view, TimePoint now)
    : view_(std::move(view)), taken_at_(now - view_.load.age) {}

void TargetEstimate::Update(TargetView view, TimePoint now) {
  const LoadReport load = view.load;
  const LoadReport previous = view_.load;
  view_ = std::move(view);
  view_.load = previous;
  Report(load, now);
}

void TargetEstimate::Report(const LoadReport& load, TimePoint now) {
  const TimePoint taken_at = now - load.age;
  if (taken_at < taken_at_) {
    return;
  }
  view_.load = load;
  taken_at_ = taken_at;
  while (!changes_.empty() && changes_.front().at <= taken_at) {
    changes_.pop_front();
  }
  int since = 0;
  for (const OwnChange& change : changes_) {
    since += change.change;
  }
  const int at_report = static_cast<int>(own_in_flight_) - since;
  own_at_report_ = static_cast<std::size_t>(std::max(0, at_report));
}

void TargetEstimate::Started(TimePoint now) {
  ++own_in_flight_;
  RecordChange(1, now);
}

void TargetEstimate::Ended(TimePoint now) {
  BILBERRYSPOOL_INVARIANT(own_in_flight_ > 0, "an attempt ends once");
  --own_in_flight_;
  RecordChange(-1, now);
}

double TargetEstimate::reported_load() const {
  return static_cast<double>(view_.load.running) +
         static_cast<double>(view_.load.queued);
}

double TargetEstimate::load_of_others() const {
  return std::max(0.0, reported_load() - static_cast<double>(own_at_report_));
}

double TargetEstimate::corrected_load() const {
  return load_of_others() + static_cast<double>(own_in_flight_);
}

std::uint32_t TargetEstimate::limit() const {
  return std::max(1U, view_.load.limit > 0 ? view_.load.limit : view_.slots);
}

void TargetEstimate::RecordChange(int change, TimePoint now) {
  changes_.push_back(OwnChange{now, change});
  if (changes_.size() > kMaxChanges) {
    changes_.pop_front();
  }
}

}  // namespace bilberryspool::routing
