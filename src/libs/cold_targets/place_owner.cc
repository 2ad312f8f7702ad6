#include "libs/cold_targets/place_owner.h"

#include "libs/membership/rendezvous.h"

namespace bilberryspool::cold_targets {

// Jump consistent hashing (Lamping and Veach, 2014).
std::uint64_t OwnerOfPlace(std::uint64_t place_hash, std::uint64_t gateways) {
  constexpr std::uint64_t kMultiplier = 2862933555777941757ULL;
  constexpr int kHashBits = 33;
  constexpr double kRange = static_cast<double>(1ULL << 31U);
  std::uint64_t owner = 0;
  std::uint64_t next = 0;
  while (next < gateways) {
    owner = next;
    place_hash = place_hash * kMultiplier + 1;
    const auto draw = static_cast<double>((place_hash >> kHashBits) + 1);
    next = static_cast<std::uint64_t>(static_cast<double>(owner + 1) *
                                      (kRange / draw));
  }
  return owner;
}

std::uint64_t CountOwnPlaces(std::string_view target,
                             std::uint64_t places,
                             const GatewaySeat& seat) {
  std::uint64_t own = 0;
  for (std::uint64_t place = 0; place < places; ++place) {
    const std::uint64_t hash = membership::StableHash(target, place);
    own += OwnerOfPlace(hash, seat.count) == seat.index ? 1 : 0;
  }
  return own;
}

}  // namespace bilberryspool::cold_targets
