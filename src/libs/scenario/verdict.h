#ifndef LIBS_SCENARIO_VERDICT_H_
#define LIBS_SCENARIO_VERDICT_H_

#include <cstddef>
#include <deque>
#include <functional>
#include <string>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::scenario {

// Records the latest events of a run, and its first violated check.
class Verdict {
 public:
  static constexpr std::size_t kKeptEvents = 60;
  using Listener = std::function<void(const std::string& event)>;

  // Calls `listener`, if not empty, for each event.
  Verdict(std::function<TimePoint()> clock, Listener listener)
      : clock_(std::move(clock)), listener_(std::move(listener)) {}

  void Note(const NodeId& node, const std::string& event);
  // Fails the run with the message `what` unless `holds`, if it has not failed
  // before.
  void Check(bool holds, const std::string& what);

  bool failed() const { return !failure_.empty(); }
  const std::string& failure() const { return failure_; }
  // The latest events, oldest first.
  const std::deque<std::string>& events() const { return events_; }

 private:
  std::function<TimePoint()> clock_;
  Listener listener_;
  std::string failure_;
  std::deque<std::string> events_;
};

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_VERDICT_H_
