// Bounds what a gateway sends to targets that may be cold.
//
// A target that has just started tolerates few requests in a second, from all
// gateways together, and terminates well above that. It may turn cold at any
// moment, and a gateway may be the last to hear of it. The bound is divided in
// advance: for each target there are as many places as requests are allowed in
// a second, each place belongs to one gateway, and a gateway sends one request
// for each of its places in a second. The sum holds whatever the others do, and
// whether or not they can be reached.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_COLD_TARGETS_COLD_START_LIMITER_H_
#define LIBS_COLD_TARGETS_COLD_START_LIMITER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>

#include "libs/base/ids.h"
#include "libs/base/target_run.h"
#include "libs/base/time.h"
#include "libs/cold_targets/gateway_seat.h"

namespace bilberryspool::cold_targets {

struct ColdStartLimiterOptions {
  // Part of the declared rate that is allowed, and requests allowed in
  // addition, in each second.
  double overage = 1.0;
  double slack = 0.0;
  // A process that has just started uses no places: the one before it may have
  // used them in the last second.
  Duration start_pause = Seconds(1);
};

class ColdStartLimiter {
 public:
  // `started_at`: start of the process.
  ColdStartLimiter(ColdStartLimiterOptions options, TimePoint started_at);

  // Sets the rates in requests per second that cold targets of each service
  // tolerate. Services without one are not limited.
  void SetRates(std::map<ServiceId, double> rates);
  // Records the gateway's seat as a control node reports it. The highest count
  // ever reported applies. No place is used before the seat is confirmed.
  void SetSeat(const GatewaySeat& seat);

  bool has_rates() const { return !rates_.empty(); }
  bool IsLimited(const ServiceId& service) const {
    return rates_.contains(service);
  }
  // Whether one more request may be sent to the target if it is cold.
  bool MayTake(const ServiceId& service,
               const TargetId& target,
               TimePoint now) const {
    return WaitFor(service, target, now) == Duration::zero();
  }
  // Accounts for a request that is sent, whether or not the target is cold.
  void Take(const ServiceId& service, const TargetId& target, TimePoint now);
  // Time until MayTake() holds; nothing if this gateway has no place there.
  std::optional<Duration> WaitFor(const ServiceId& service,
                                  const TargetId& target,
                                  TimePoint now) const;
  // What this gateway may send to a cold target in kPlaceInterval, and what it
  // has sent there in the last one.
  struct PlaceUse {
    std::uint64_t places = 0;
    std::uint64_t sent = 0;
  };
  PlaceUse UseOf(const ServiceId& service,
                 const TargetId& target,
                 TimePoint now) const;
  // Erases records that don't matter any more.
  void Tick(TimePoint now);

  const std::optional<GatewaySeat>& seat() const { return seat_; }
  std::size_t size() const { return sent_.size(); }

 private:
  std::uint64_t PlacesOf(const ServiceId& service,
                         const TargetId& target) const;

  ColdStartLimiterOptions options_;
  TimePoint usable_from_;
  std::optional<GatewaySeat> seat_;
  std::map<ServiceId, double> rates_;
  // When requests were sent to each target, the latest last.
  std::map<TargetId, std::deque<TimePoint>> sent_;
  // Own places by target; computed when needed.
  mutable std::map<TargetId, std::uint64_t> places_;
};

}  // namespace bilberryspool::cold_targets

#endif  // LIBS_COLD_TARGETS_COLD_START_LIMITER_H_
