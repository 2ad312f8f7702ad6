#ifndef LIBS_COLD_TARGETS_GATEWAY_SEAT_H_
#define LIBS_COLD_TARGETS_GATEWAY_SEAT_H_

#include <cstdint>
#include <optional>

namespace bilberryspool::cold_targets {

// A gateway's position in the roster of gateways. Positions are never given to
// another gateway.
struct GatewaySeat {
  std::uint64_t index = 0;  // less than `count`
  std::uint64_t count = 0;  // of all gateways ever listed
  // Whether all other gateways know of this one, so that it may use its places.
  bool is_confirmed = false;

  bool operator==(const GatewaySeat&) const = default;
};

}  // namespace bilberryspool::cold_targets

#endif  // LIBS_COLD_TARGETS_GATEWAY_SEAT_H_
