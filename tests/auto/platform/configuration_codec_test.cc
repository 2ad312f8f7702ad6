#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <variant>

#include "libs/traffic/route_table.h"
#include "platform/configuration_codec.h"

namespace bilberryspool::platform {
namespace {

constexpr char kWhole[] =
    R"({"version":7,"routes":[
        {"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming",
         "timeout_ms":8000,"target_latency_ms":400,"priority":1,
         "traffic_split":[{"service":"s","weight":90},
                          {"service":"t","weight":10}],
         "attempts":2,"allow_anonymous":true,"sticky_sessions":true,
         "resume_streams":true,"target_gap_ms":120},
        {"name":"r2","host":"h","path_prefix":"/b/","kind":"unsafe",
         "timeout_ms":2000,"service":"t"}],
       "services":[{"name":"s","health_path":"/health","max_connections":358,
         "engine":{"slots":12,"stride":6,"step_ms":4.84,"per_seq_ms":0.362,
                   "read_per_s":74800.0,"sets":4,"experts":64,"places":5,"expert_mb":2500.0,"link_mbps":180000.0,
                   "spare":2}},
        {"name":"t"}],
       "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
                 "header_timeout_ms":3000,"idle_timeout_ms":15000},
       "tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1}]})";

TEST_CASE("a complete configuration is parsed") {
  const auto read = ReadConfiguration(kWhole);
  REQUIRE(std::holds_alternative<traffic::TrafficConfiguration>(read));
  const auto& whole = std::get<traffic::TrafficConfiguration>(read);
  CHECK(whole.version == 7);
  REQUIRE(whole.routes.size() == 2);
  const traffic::Route& route = whole.routes[0];
  CHECK(route.kind == traffic::RequestKind::kStream);
  CHECK(route.timeout == Seconds(8));
  CHECK(route.objective == Milliseconds(400));
  CHECK(route.max_gap == Milliseconds(120));
  CHECK(route.attempts == 2);
  CHECK(route.priority == 1);
  CHECK(route.allows_anonymous);
  CHECK(route.may_resume);
  CHECK(route.splits == std::vector<traffic::Split>{{ServiceId("s"), 90},
                                                    {ServiceId("t"), 10}});
  CHECK(whole.routes[1].kind == traffic::RequestKind::kNonIdempotent);
  CHECK(whole.routes[1].attempts == 1);
  const traffic::Service& service = whole.services.at(ServiceId("s"));
  REQUIRE(service.engine.has_value());
  CHECK(service.engine->step == Microseconds(4840));
  CHECK(service.engine->expert_layers == 4);
  CHECK(service.engine->new_experts == 2);
  // 2,500 MB at 180 Gbit/s.
  CHECK(service.engine->expert_copy == Microseconds(111'111));
  CHECK_FALSE(whole.services.at(ServiceId("t")).engine.has_value());
  CHECK(whole.keys.at("k2").workspace == Workspace("w"));
  CHECK(whole.bounds.idle_timeout == Seconds(15));
  CHECK_FALSE(traffic::FindFault(whole).has_value());
}

std::string Replaced(const std::string& from, const std::string& to) {
  std::string text = kWhole;
  text.replace(text.find(from), from.size(), to);
  return text;
}

// Guards against putting an incomplete or contradictory configuration into
// force everywhere.
TEST_CASE("an incomplete or contradictory configuration is rejected") {
  const std::string whole = kWhole;
  const std::string rows[] = {
      "",
      whole.substr(0, whole.size() / 2),
      whole + "x",
      "[]",
      "{}",
      Replaced("\"version\":7", "\"version\":\"7\""),
      Replaced("\"version\":7", "\"version\":-7"),
      Replaced("\"version\":7", "\"version\":0"),
      Replaced("\"timeout_ms\":8000", "\"timeout_ms\":0"),
      Replaced("\"timeout_ms\":8000", "\"timeout_ms\":\"8000\""),
      Replaced("\"weight\":90},",
               "\"weight\":0},"
               "{\"service\":\"none\",\"weight\":1},"),
      Replaced("\"service\":\"t\"}],", "\"service\":\"none\"}],"),
      Replaced("\"/b/\"", "\"/a/\""),
      Replaced("\"attempts\":2", "\"attempts\":\"two\""),
      Replaced("[\"k1\",\"k2\"],\"priority\":1}",
               "[\"k1\"]},{\"name\":\"v\",\"api_keys\":[\"k1\"]}"),
      Replaced("\"tenants\":[", "\"tenants\":3,\"x\":["),
  };
  for (const std::string& row : rows) {
    CAPTURE(row);
    const auto read = ReadConfiguration(row);
    const auto* configuration =
        std::get_if<traffic::TrafficConfiguration>(&read);
    const bool is_refused = configuration == nullptr ||
                            traffic::FindFault(*configuration).has_value();
    CHECK(is_refused);
  }
}

// What the list of tenants means to a request with key k1 on route r2.
std::string VerdictOn(const std::string& text) {
  auto read = ReadConfiguration(text);
  auto* configuration = std::get_if<traffic::TrafficConfiguration>(&read);
  if (configuration == nullptr ||
      traffic::FindFault(*configuration).has_value()) {
    return "refused";
  }
  const traffic::RouteTable table(
      std::make_shared<const traffic::TrafficConfiguration>(
          std::move(*configuration)));
  const auto outcome = table.Match("h", "/b/x", "k1");
  if (std::holds_alternative<traffic::KeyUnknown>(outcome)) {
    return "key unknown";
  }
  const auto* match = std::get_if<traffic::RouteMatch>(&outcome);
  REQUIRE(match != nullptr);
  return match->holder == nullptr ? "anonymous"
                                  : match->holder->workspace.value();
}

// Guards against keys that are good again once the last tenant that held any is
// taken off the list.
TEST_CASE("only a configuration without a list of tenants needs no key") {
  const std::string tenants =
      R"("tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1}])";
  struct Row {
    const char* list;
    const char* verdict;
  };
  for (const Row& row : {
           Row{R"("x":1)", "anonymous"},
           Row{R"("tenants":[])", "key unknown"},
           Row{R"("tenants":[{"name":"w","api_keys":[]}])", "key unknown"},
           Row{R"("tenants":[{"name":"w","api_keys":["k2"]}])", "key unknown"},
           Row{R"("tenants":[{"name":"w","api_keys":["k1"]}])", "w"},
           Row{R"("tenants":null)", "refused"},
           Row{R"("tenants":{})", "refused"},
           Row{R"("tenants":"")", "refused"},
           Row{R"("tenants":[null])", "refused"},
           Row{R"("tenants":[{"name":"w"}])", "refused"},
           Row{R"("tenants":[{"name":"w","api_keys":null}])", "refused"},
           Row{R"("tenants":[{"name":"w","api_keys":"k1"}])", "refused"},
           Row{R"("tenants":[{"name":"w","api_keys":[null]}])", "refused"},
       }) {
    CAPTURE(row.list);
    CHECK(VerdictOn(Replaced(tenants, row.list)) == row.verdict);
  }
}

// Guards against a member that is taken for absent because it can't be read, so
// that a limit is lifted or a route moved. Configurations that earlier versions
// accepted must remain readable.
TEST_CASE("an optional member of another type is refused, but can be read") {
  struct Row {
    const char* from;
    const char* to;
    const char* member;
  };
  const Row rows[] = {
      {"\"health_path\":\"/health\"", "\"health_path\":null", "health_path"},
      {"\"max_connections\":358", "\"max_connections\":\"358\"",
       "max_connections"},
      {"{\"name\":\"t\"}", "{\"name\":\"t\",\"cold_start_s\":\"4\"}",
       "cold_start_s"},
      {"{\"name\":\"t\"}", "{\"name\":\"t\",\"cold_per_s\":{}}", "cold_per_s"},
      {"\"engine\":{", "\"engine\":null,\"x\":{", "engine"},
      {"\"slots\":12", "\"slots\":-12", "slots"},
      {"\"step_ms\":4.84", "\"step_ms\":[]", "step_ms"},
      {"\"limits\":{", "\"limits\":[],\"x\":{", "limits"},
      {"\"max_body_bytes\":4194304", "\"max_body_bytes\":null",
       "max_body_bytes"},
      {"\"idle_timeout_ms\":15000", "\"idle_timeout_ms\":false",
       "idle_timeout_ms"},
      {"\"timeout_ms\":2000,", "\"timeout_ms\":2000,\"traffic_split\":{},",
       "traffic_split"},
      {"\"priority\":1}]}", "\"priority\":\"1\"}]}", "priority"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.to);
    const auto read = ReadConfiguration(Replaced(row.from, row.to));
    const auto* whole = std::get_if<traffic::TrafficConfiguration>(&read);
    REQUIRE(whole != nullptr);
    CHECK(whole->unreadable_member == row.member);
    CHECK(traffic::FindFault(*whole).has_value());
  }
}

TEST_CASE("unknown fields are ignored") {
  CHECK(std::holds_alternative<traffic::TrafficConfiguration>(
      ReadConfiguration(Replaced("\"version\":7", "\"version\":7,\"new\":1"))));
}

}  // namespace
}  // namespace bilberryspool::platform
