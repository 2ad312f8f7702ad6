#include "libs/traffic/version_news.h"

#include <algorithm>
#include <cstddef>

#include "libs/membership/rendezvous.h"

namespace bilberryspool::traffic {

namespace {

// Up to so many gateways all nodes tell all of them.
constexpr std::uint64_t kFewGateways = 60;
// One may be cut off from the others and know of nothing.
constexpr std::size_t kTellers = 2;

}  // namespace

bool IsToldAtOnce(const std::string& gateway,
                  const std::string& node,
                  const std::vector<std::string>& reachable,
                  std::uint64_t gateways) {
  const bool is_known =
      std::find(reachable.begin(), reachable.end(), node) != reachable.end();
  if (gateways <= kFewGateways || !is_known) {
    return true;
  }
  const auto tellers =
      membership::RankByRendezvous(gateway, reachable, kTellers);
  return std::find(tellers.begin(), tellers.end(), node) != tellers.end();
}

}  // namespace bilberryspool::traffic
