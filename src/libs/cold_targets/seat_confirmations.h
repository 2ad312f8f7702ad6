// Decides which gateways may use their places, at the leading control node.
//
// A gateway that is added takes over places from others. Until those have heard
// of it, they still use the places. Each gateway says with its queries how many
// gateways it has heard of; the places move when all have heard of the new one
// for a while. A gateway that is cut off delays that until it counts as gone.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_COLD_TARGETS_SEAT_CONFIRMATIONS_H_
#define LIBS_COLD_TARGETS_SEAT_CONFIRMATIONS_H_

#include <cstdint>
#include <map>
#include <string>

#include "libs/base/time.h"
#include "libs/cold_targets/gateway_roster.h"

namespace bilberryspool::cold_targets {

class SeatConfirmations {
 public:
  // `started_at`: start of the control node.
  explicit SeatConfirmations(TimePoint started_at) : started_at_(started_at) {}

  // A gateway that knows a seat of `count` gateways has sent a query; 0 if it
  // knows none.
  void OnQuery(const std::string& gateway, std::uint64_t count, TimePoint now);
  // The number of gateways, in the order of the roster, that all others have
  // heard of for as long as a place may be in use.
  std::uint64_t CountConfirmed(const GatewayRoster& roster,
                               TimePoint now) const;

 private:
  struct Known {
    std::uint64_t count = 0;
    TimePoint since;
    std::uint64_t count_before = 0;
    TimePoint last_query_at;
  };

  TimePoint started_at_;
  std::map<std::string, Known> known_;
};

}  // namespace bilberryspool::cold_targets

#endif  // LIBS_COLD_TARGETS_SEAT_CONFIRMATIONS_H_
