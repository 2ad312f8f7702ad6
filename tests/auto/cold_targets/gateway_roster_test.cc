#include <doctest/doctest.h>

#include "libs/cold_targets/gateway_roster.h"

namespace bilberryspool::cold_targets {
namespace {

std::string Change(std::vector<std::string> names, std::uint64_t confirmed) {
  return GatewayRoster::Encode({std::move(names), confirmed});
}

TEST_CASE("gateways keep their index when others are added") {
  GatewayRoster roster;
  CHECK(roster.Apply(Change({"b", "a"}, 0)));
  CHECK(roster.SeatOf("a") == GatewaySeat{1, 2, false});
  CHECK_FALSE(roster.Apply(Change({"a", "b"}, 0)));
  CHECK(roster.Apply(Change({"a", "c"}, 0)));
  CHECK(roster.SeatOf("a") == GatewaySeat{1, 3, false});
  CHECK(roster.SeatOf("c") == GatewaySeat{2, 3, false});
  CHECK_FALSE(roster.SeatOf("d").has_value());
}

TEST_CASE("the number of confirmed gateways only increases") {
  GatewayRoster roster;
  roster.Apply(Change({"a", "b", "c"}, 0));
  CHECK(roster.Apply(Change({}, 2)));
  CHECK_FALSE(roster.Apply(Change({}, 1)));
  CHECK_FALSE(roster.Apply(Change({}, 4)));
  CHECK(roster.SeatOf("b") == GatewaySeat{1, 3, true});
  CHECK(roster.SeatOf("c") == GatewaySeat{2, 3, false});
}

TEST_CASE("a roster is restored; malformed text changes nothing") {
  GatewayRoster roster;
  roster.Apply(Change({"b", "a"}, 1));
  GatewayRoster read;
  CHECK(read.Apply(roster.Export()));
  CHECK(read.SeatOf("a") == roster.SeatOf("a"));
  CHECK(read.SeatOf("b") == roster.SeatOf("b"));
  for (const char* text :
       {"", "{", "{}", "[]", R"({"names":[1],"confirmed":0})"}) {
    CAPTURE(text);
    CHECK_FALSE(read.Apply(text));
  }
  CHECK(read.size() == 2);
}

}  // namespace
}  // namespace bilberryspool::cold_targets
