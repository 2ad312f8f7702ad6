#include "libs/base/random.h"

namespace bilberryspool {

std::uint64_t Random::Below(std::uint64_t bound) {
  if (bound == 0) {
    return 0;
  }
  return engine_() % bound;
}

double Random::Fraction() {
  constexpr double kScale = 1.0 / 9007199254740992.0;  // 2^-53
  return static_cast<double>(engine_() >> 11U) * kScale;
}

Duration Random::Between(Duration low, Duration high) {
  if (high <= low) {
    return low;
  }
  const auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
  return low + Duration(static_cast<Duration::rep>(Below(span)));
}

}  // namespace bilberryspool
