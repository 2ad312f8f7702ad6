#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <variant>

#include "libs/traffic/route_table.h"

namespace bilberryspool::traffic {
namespace {

Route MakeRoute(const std::string& name, const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = "h.example";
  route.path_prefix = prefix;
  route.timeout = Seconds(8);
  route.splits = {{ServiceId("model"), 1}};
  route.priority = 3;
  return route;
}

TrafficConfiguration MakeConfiguration() {
  TrafficConfiguration whole;
  whole.version = 1;
  whole.services[ServiceId("model")].id = ServiceId("model");
  whole.services[ServiceId("plain")].id = ServiceId("plain");
  whole.routes = {MakeRoute("short", "/a/"), MakeRoute("long", "/a/b/"),
                  MakeRoute("open", "/open/")};
  whole.routes[2].allows_anonymous = true;
  whole.has_workspaces = true;
  whole.keys["key-1"] = {Workspace("w1"), 1U};
  whole.keys["key-2"] = {Workspace("w2"), std::nullopt};
  return whole;
}

std::string Describe(const RouteOutcome& outcome) {
  if (std::holds_alternative<NoRoute>(outcome)) {
    return "no route";
  }
  if (std::holds_alternative<KeyUnknown>(outcome)) {
    return "key unknown";
  }
  const auto& match = std::get<RouteMatch>(outcome);
  return match.route->name + " " +
         (match.holder == nullptr ? "anonymous"
                                  : match.holder->workspace.value()) +
         " " + std::to_string(match.urgency.priority);
}

TEST_CASE(
    "a request gets the route with the longest prefix and its workspace") {
  const RouteTable table(
      std::make_shared<const TrafficConfiguration>(MakeConfiguration()));
  struct Row {
    const char* host;
    const char* path;
    const char* key;
    const char* expected;
  };
  const Row rows[] = {
      {"h.example", "/a/x", "key-1", "short w1 1"},
      {"h.example", "/a/b/x", "key-1", "long w1 1"},
      {"h.example", "/a/b/", "key-2", "long w2 3"},
      {"h.example", "/a/bc", "key-2", "short w2 3"},
      {"h.example", "/a", "key-1", "no route"},
      {"h.example", "/", "key-1", "no route"},
      {"h.example", "", "key-1", "no route"},
      {"other.example", "/a/x", "key-1", "no route"},
      {"h.example", "/a/x", "", "key unknown"},
      {"h.example", "/a/x", "key-3", "key unknown"},
      {"h.example", "/open/x", "", "open anonymous 3"},
      {"h.example", "/open/x", "key-1", "open w1 1"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.path);
    CAPTURE(row.key);
    CHECK(Describe(table.Match(row.host, row.path, row.key)) == row.expected);
  }
}

// Guards against a key that a caller without a key has.
TEST_CASE("an empty key belongs to nobody") {
  TrafficConfiguration whole = MakeConfiguration();
  whole.keys[""] = {Workspace("w3"), std::nullopt};
  const RouteTable table(
      std::make_shared<const TrafficConfiguration>(std::move(whole)));
  CHECK(Describe(table.Match("h.example", "/a/x", "")) == "key unknown");
  CHECK(Describe(table.Match("h.example", "/open/x", "")) ==
        "open anonymous 3");
}

// Guards against routes that no request can reach because their host is written
// in another way than the requests' after it was read.
TEST_CASE("hosts are compared in one form") {
  struct Row {
    const char* configured;
    const char* requested;
    bool is_same;
  };
  for (const Row& row : {
           Row{"Kiln.Example", "kiln.example", true},
           Row{"kiln.example:8080", "kiln.example", true},
           Row{"KILN.example.", "kiln.example", true},
           Row{"[2001:DB8::1]", "[2001:db8::1]", true},
           Row{"[2001:db8::1]:80", "[2001:db8::1]", true},
           Row{"kiln.example", "mill.example", false},
           Row{"\xC4kiln.example", "\xE4kiln.example", false},
       }) {
    CAPTURE(row.configured);
    TrafficConfiguration whole = MakeConfiguration();
    whole.routes[2].host = row.configured;
    const RouteTable table(
        std::make_shared<const TrafficConfiguration>(std::move(whole)));
    CHECK(Describe(table.Match(row.requested, "/open/x", "")) ==
          (row.is_same ? "open anonymous 3" : "no route"));
  }
}

// Configurations that earlier versions accepted are still in the log. There the
// route in the usual form was the one that requests reached.
TEST_CASE("the usual form of a host goes first where two routes share it") {
  for (const bool is_usual_first : {false, true}) {
    CAPTURE(is_usual_first);
    TrafficConfiguration whole = MakeConfiguration();
    Route other = whole.routes[2];
    other.name = "capitals";
    other.host = "H.Example";
    whole.routes.insert(
        is_usual_first ? whole.routes.end() : whole.routes.begin(), other);
    const RouteTable table(
        std::make_shared<const TrafficConfiguration>(std::move(whole)));
    CHECK(Describe(table.Match("h.example", "/open/x", "")) ==
          "open anonymous 3");
  }
}

TEST_CASE("services are chosen according to the weights of the splits") {
  Route route = MakeRoute("r", "/r/");
  route.splits = {{ServiceId("model"), 90}, {ServiceId("plain"), 10}};
  CHECK(ChooseService(route, 0.0) == ServiceId("model"));
  CHECK(ChooseService(route, 0.89) == ServiceId("model"));
  CHECK(ChooseService(route, 0.91) == ServiceId("plain"));
  CHECK(ChooseService(route, 0.9999) == ServiceId("plain"));
}

TEST_CASE("invalid configurations are detected") {
  struct Row {
    const char* name;
    void (*spoil)(TrafficConfiguration& whole);
    bool is_valid;
  };
  const Row rows[] = {
      {"unchanged", [](TrafficConfiguration&) {}, true},
      {"no version", [](TrafficConfiguration& w) { w.version = 0; }, false},
      {"unknown service",
       [](TrafficConfiguration& w) {
         w.routes[0].splits = {{ServiceId("none"), 1}};
       },
       false},
      {"no weight",
       [](TrafficConfiguration& w) { w.routes[0].splits[0].weight = 0; },
       false},
      {"no timeout",
       [](TrafficConfiguration& w) { w.routes[1].timeout = Duration(0); },
       false},
      {"two routes with one host and prefix",
       [](TrafficConfiguration& w) { w.routes[1].path_prefix = "/a/"; }, false},
      {"two routes with one prefix and hosts that differ in case",
       [](TrafficConfiguration& w) {
         w.routes[1].path_prefix = "/a/";
         w.routes[1].host = "H.Example";
       },
       false},
      {"one prefix on two hosts",
       [](TrafficConfiguration& w) {
         w.routes[1].path_prefix = "/a/";
         w.routes[1].host = "i.example";
       },
       true},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    TrafficConfiguration whole = MakeConfiguration();
    row.spoil(whole);
    CHECK(FindFault(whole).has_value() == !row.is_valid);
  }
}

// Guards against a workspace's priority that takes away the difference between
// its own requests: all of them were then refused alike.
TEST_CASE("the route's priority decides among workspaces of equal priority") {
  TrafficConfiguration configuration;
  configuration.version = 1;
  configuration.has_workspaces = true;
  configuration.services[ServiceId("model")] = {ServiceId("model")};
  for (const std::uint32_t priority : {0U, 2U}) {
    Route route;
    route.name = "route-" + std::to_string(priority);
    route.host = "h";
    route.path_prefix = "/" + std::to_string(priority) + "/";
    route.priority = priority;
    route.timeout = Seconds(1);
    route.splits = {{ServiceId("model"), 1}};
    configuration.routes.push_back(route);
  }
  configuration.keys["first"] = {Workspace("a"), 0};
  configuration.keys["second"] = {Workspace("b"), 1};
  configuration.keys["plain"] = {Workspace("c"), std::nullopt};
  const RouteTable table(
      std::make_shared<const TrafficConfiguration>(configuration));
  struct Row {
    std::string key;
    std::string path;
    std::uint32_t rank;
  };
  // A workspace without a priority goes by its routes alone.
  for (const Row& row : {Row{"first", "/0/x", 0}, Row{"plain", "/0/x", 0},
                         Row{"first", "/2/x", 1}, Row{"second", "/0/x", 2},
                         Row{"second", "/2/x", 3}, Row{"plain", "/2/x", 4}}) {
    CAPTURE(row.key);
    CAPTURE(row.path);
    const auto match = table.Match("h", row.path, row.key);
    const auto* found = std::get_if<RouteMatch>(&match);
    REQUIRE(found != nullptr);
    CHECK(table.UrgencyRankOf(ServiceId("model"), found->urgency) == row.rank);
  }
  CHECK(table.DemandsOf(ServiceId("model")).has_urgent_routes);
  // Guards against most of a service's work being refused for the priorities of
  // workspaces alone.
  configuration.routes.pop_back();
  const RouteTable one_route(
      std::make_shared<const TrafficConfiguration>(configuration));
  CHECK_FALSE(one_route.DemandsOf(ServiceId("model")).has_urgent_routes);
  CHECK(one_route.DemandsOf(ServiceId("model")).urgencies.size() == 2);
}

}  // namespace
}  // namespace bilberryspool::traffic
