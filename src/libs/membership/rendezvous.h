// Rendezvous (highest random weight) hashing. All nodes that know the same
// candidates rank them alike, and adding or removing a candidate moves only its
// own share of the keys.

#ifndef LIBS_MEMBERSHIP_RENDEZVOUS_H_
#define LIBS_MEMBERSHIP_RENDEZVOUS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bilberryspool::membership {

// Hash with the same result in every build and on every machine.
std::uint64_t StableHash(std::string_view text, std::uint64_t seed = 0);

// Returns the `count` best candidates for `key`, best first.
std::vector<std::string> RankByRendezvous(std::string_view key,
                                          std::vector<std::string> candidates,
                                          std::size_t count);

// Digest of a list of names, independent of their order.
std::uint64_t DigestOfNames(const std::vector<std::string>& names);

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_RENDEZVOUS_H_
