#ifndef AUTO_LIMITS_SEEDS_H_
#define AUTO_LIMITS_SEEDS_H_

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string_view>

#include "libs/base/check.h"

namespace bilberryspool {

inline std::uint64_t current_seed = 0;

inline void ReportSeedAndAbort(std::string_view what,
                               const char* file,
                               int line) {
  std::cerr << "seed " << current_seed << ": invariant broken: " << what << " ("
            << file << ":" << line << ")" << std::endl;
  std::abort();
}

// Runs `body(seed)` for each seed; BILBERRYSPOOL_SEEDS increases their number
// for long runs. A violated invariant prints the seed.
template <typename Body>
void ForEachSeed(std::uint64_t count, const Body& body) {
  const char* wanted = std::getenv("BILBERRYSPOOL_SEEDS");
  const std::uint64_t seeds =
      wanted != nullptr ? std::strtoull(wanted, nullptr, 10) : count;
  const InvariantHandler before = SetInvariantHandler(&ReportSeedAndAbort);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    current_seed = seed;
    body(seed);
  }
  SetInvariantHandler(before);
}

}  // namespace bilberryspool

#endif  // AUTO_LIMITS_SEEDS_H_
