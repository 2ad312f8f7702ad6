// Estimates which part of the room of a lock-step service is in use, from the
// pauses between the events of the streams that this process relays.
//
// All ranks of a group step together, so each pause shows how long a step of
// the whole group took. A step that takes longer than callers accept makes all
// streams of its group late, and the first steps after a shift of demand take
// up to twice as long as the others. The longest pauses of the last seconds
// therefore count, not the mean.
//
// Needs no report of another process, so it also works without a leader.
//
// Pure: events and `now` in, the load out.

#ifndef LIBS_URGENCY_STREAM_PAUSES_H_
#define LIBS_URGENCY_STREAM_PAUSES_H_

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::urgency {

struct StreamPausesOptions {
  // Part of the longest accepted pause that steps may take.
  double usable_gap = 0.9;
  // A process relays few streams of a service, so its estimate varies. This
  // part of a change of the estimate counts.
  double gain = 0.4;
  // Pauses are evaluated together over this time.
  Duration window = Milliseconds(200);
  // Ticks that come later than this were delayed, and so were the events.
  Duration max_tick_interval = Milliseconds(160);
  // The pause of a window that counts: single streams are delayed on their way.
  double quantile = 0.6;
  std::size_t min_pauses = 3;
  // How long a pause counts: demand shifts every few seconds.
  Duration memory = Seconds(4);
  // While no step was too long, steps may take `slack` more of the room, and
  // nothing more once `late_windows` of the last `late_memory` had steps that
  // were: requests are only refused if steps are too long otherwise.
  double slack = 0.3;
  Duration late_memory = Seconds(30);
  std::size_t late_windows = 2;
  // A pause longer than this multiple of the accepted one is not a step but a
  // stall, which fewer requests would not shorten.
  double max_factor = 4.0;
};

// How long the steps of a service take.
struct StepTimes {
  Duration max_gap{};  // longest pause that callers accept
  Duration fixed{};    // a step without requests
};

class StreamPauses {
 public:
  explicit StreamPauses(StreamPausesOptions options) : options_(options) {}

  // A stream of `service` has received an event `pause` after the one before.
  void OnPause(const ServiceId& service,
               Duration pause,
               const StepTimes& times);
  // Evaluates the pauses since the last tick. Must be called every 100 ms; a
  // late call shows that this process was late itself.
  void Tick(TimePoint now);

  // Part of the room in use; above 1 if steps are longer than callers accept.
  // Nothing if no pauses were seen lately.
  std::optional<double> LoadOf(const ServiceId& service, TimePoint now) const;

 private:
  struct Window {
    TimePoint at;
    double load = 0.0;
  };
  struct Service {
    std::vector<double> loads;  // of the open window
    double max_load = 0.0;      // with which steps are not too long
    std::deque<Window> windows;
    // When steps were too long.
    std::deque<TimePoint> late_at;
  };

  void CloseWindow(Service& service, TimePoint now) const;

  StreamPausesOptions options_;
  std::map<ServiceId, Service> services_;
  TimePoint ticked_at_;
  TimePoint window_began_at_;
};

}  // namespace bilberryspool::urgency

#endif  // LIBS_URGENCY_STREAM_PAUSES_H_
