#include "libs/traffic/version_news.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

namespace bilberryspool::traffic {
namespace {

const std::vector<std::string> kNodes = {"10.1.0.1:7340", "10.2.0.1:7340",
                                         "10.3.0.1:7340", "10.4.0.1:7340",
                                         "10.5.0.1:7340"};

std::string GatewayAt(std::uint64_t index) {
  return "gateway-" + std::to_string(index);
}

std::vector<std::string> TellersOf(const std::string& gateway,
                                   const std::vector<std::string>& reachable,
                                   std::uint64_t gateways) {
  std::vector<std::string> tellers;
  std::copy_if(reachable.begin(), reachable.end(), std::back_inserter(tellers),
               [&](const std::string& node) {
                 return IsToldAtOnce(gateway, node, reachable, gateways);
               });
  return tellers;
}

// Symptom: for 6 s after all control nodes were killed no map is changed, and
// no reader answers the leader. Sequence: 18 configurations in 8 s; each node
// answers 149 gateways for each. Cause: all nodes told all gateways.
TEST_CASE("the work of one configuration does not grow with nodes x gateways") {
  struct Row {
    std::uint64_t gateways;
    std::size_t tellers;  // of each gateway
  };
  const Row rows[] = {{9, 5}, {39, 5}, {60, 5}, {149, 2}, {360, 2}};
  for (const Row& row : rows) {
    CAPTURE(row.gateways);
    std::map<std::string, std::uint64_t> told_by;
    for (std::uint64_t i = 0; i < row.gateways; ++i) {
      const auto tellers = TellersOf(GatewayAt(i), kNodes, row.gateways);
      CHECK(tellers.size() == row.tellers);
      for (const std::string& node : tellers) {
        ++told_by[node];
      }
    }
    for (const auto& [node, count] : told_by) {
      CAPTURE(node);
      CHECK(count <= std::max(row.gateways * row.tellers * 3 / 10,
                              std::min(row.gateways, std::uint64_t{60})));
    }
  }
}

TEST_CASE("a node that fails has another in its place") {
  for (std::uint64_t i = 0; i < 40; ++i) {
    CAPTURE(i);
    const auto before = TellersOf(GatewayAt(i), kNodes, 149);
    REQUIRE(before.size() == 2);
    std::vector<std::string> left = kNodes;
    std::erase(left, before.front());
    const auto after = TellersOf(GatewayAt(i), left, 149);
    REQUIRE(after.size() == 2);
    CHECK(std::find(after.begin(), after.end(), before.back()) != after.end());
    // It is asked as ever until it answers again.
    CHECK(IsToldAtOnce(GatewayAt(i), before.front(), left, 149));
  }
}

}  // namespace
}  // namespace bilberryspool::traffic
