// Random numbers for decisions, which own a seeded generator, so that a run can
// be replayed exactly.

#ifndef LIBS_BASE_RANDOM_H_
#define LIBS_BASE_RANDOM_H_

#include <cstdint>
#include <random>

#include "libs/base/time.h"

namespace bilberryspool {

// A seeded generator. A copy continues the same sequence.
class Random {
 public:
  explicit Random(std::uint64_t seed) : engine_(seed) {}

  // Uniform in [0, bound); 0 where bound is 0.
  std::uint64_t Below(std::uint64_t bound);
  // Uniform in [0, 1).
  double Fraction();
  // True with the given probability.
  bool Chance(double probability) { return Fraction() < probability; }
  // Uniform in [low, high].
  Duration Between(Duration low, Duration high);

  std::mt19937_64& engine() { return engine_; }

 private:
  std::mt19937_64 engine_;
};

}  // namespace bilberryspool

#endif  // LIBS_BASE_RANDOM_H_
