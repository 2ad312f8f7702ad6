#ifndef LIBS_COLD_TARGETS_PLACE_OWNER_H_
#define LIBS_COLD_TARGETS_PLACE_OWNER_H_

#include <cstdint>
#include <string_view>

#include "libs/base/time.h"
#include "libs/cold_targets/gateway_seat.h"

namespace bilberryspool::cold_targets {

// Time after which a place may be used again: a second, and the longest time
// from the decision to send until the request is written.
inline constexpr Duration kPlaceInterval = Milliseconds(1500);

// The index of the gateway that owns a place, of `gateways` in all (at least
// 1). When the number grows, a place stays where it is or moves to a gateway
// that is new: gateways that have not heard of the new number yet share no
// place with each other.
std::uint64_t OwnerOfPlace(std::uint64_t place_hash, std::uint64_t gateways);

// How many of `places` for the target this gateway owns.
std::uint64_t CountOwnPlaces(std::string_view target,
                             std::uint64_t places,
                             const GatewaySeat& seat);

}  // namespace bilberryspool::cold_targets

#endif  // LIBS_COLD_TARGETS_PLACE_OWNER_H_
