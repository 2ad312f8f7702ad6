#include "plugins/operators/text.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace bilberryspool::operators {

namespace {

constexpr double kTenths = 10;

}  // namespace

double RoundedSeconds(Duration duration) {
  return std::round(ToSeconds(duration) * kTenths) / kTenths;
}

std::string SecondsText(Duration duration) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f s", ToSeconds(duration));
  return text.data();
}

}  // namespace bilberryspool::operators
