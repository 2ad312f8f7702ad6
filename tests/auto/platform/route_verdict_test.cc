// Compares the routing of requests with a plain second implementation, over
// generated configurations and requests.

#include <doctest/doctest.h>

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cctype>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/random.h"
#include "libs/traffic/route_table.h"
#include "platform/configuration_codec.h"
#include "platform/wire_names.h"
#include "plugins/gateway/request_head.h"

namespace bilberryspool::platform {
namespace {

namespace json = boost::json;

struct PlainRoute {
  std::string host;
  std::string prefix;
  bool is_open = false;
};
struct PlainTenant {
  std::string name;
  std::vector<std::string> keys;
};
struct PlainConfiguration {
  std::vector<PlainRoute> routes;
  // Without a list of tenants, no key is needed.
  std::optional<std::vector<PlainTenant>> tenants;
};
struct PlainRequest {
  std::string host;
  std::string path;
  std::optional<std::string> key;
};

const std::vector<std::string> kHosts = {"kiln.example", "mill.example",
                                         "[2001:db8::1]", "a.kiln.example"};
const std::vector<std::string> kPrefixes = {"/", "/a/", "/a/b/", "/A/",
                                            "/kiln/"};
const std::vector<std::string> kPaths = {"/",    "/a",      "/a/x",
                                         "/A/x", "/a/b/c/", "/kiln/x"};
const std::vector<std::string> kKeys = {"", "k1", "k2", "K1", "k3"};

template <typename Item>
const Item& Pick(const std::vector<Item>& items, Random& random) {
  return items[random.Below(items.size())];
}

std::string RandomCase(std::string text, Random& random) {
  for (char& byte : text) {
    if (random.Chance(0.3)) {
      byte = static_cast<char>(std::toupper(static_cast<unsigned char>(byte)));
    }
  }
  return text;
}

std::string RandomHost(Random& random) {
  constexpr double kUsualForm = 0.4;
  const std::string name = Pick(kHosts, random);
  if (random.Chance(kUsualForm)) {
    return name;
  }
  const std::vector<std::string> ends = {"", "", ":80", ":8443", ".", ".:80"};
  const bool is_address = name.starts_with('[');
  const std::string end = Pick(ends, random);
  return RandomCase(name, random) +
         (is_address && end.starts_with('.') ? "" : end);
}

// Written without the code under test, one rule after the other.
bool IsSameHost(std::string left, std::string right) {
  for (std::string* host : {&left, &right}) {
    for (const char* port : {":80", ":8443"}) {
      if (host->ends_with(port)) {
        host->erase(host->size() - std::string(port).size());
      }
    }
    if (host->ends_with('.')) {
      host->pop_back();
    }
  }
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::string PlainVerdict(const PlainConfiguration& configuration,
                         const PlainRequest& request) {
  const PlainRoute* found = nullptr;
  for (const PlainRoute& route : configuration.routes) {
    if (!IsSameHost(route.host, request.host) ||
        !request.path.starts_with(route.prefix)) {
      continue;
    }
    if (found == nullptr || route.prefix.size() > found->prefix.size()) {
      found = &route;
    }
  }
  if (found == nullptr) {
    return "no route";
  }
  if (!configuration.tenants.has_value()) {
    return found->prefix + " anonymous";
  }
  for (const PlainTenant& tenant : *configuration.tenants) {
    for (const std::string& key : tenant.keys) {
      if (!key.empty() && request.key == key) {
        return found->prefix + " " + tenant.name;
      }
    }
  }
  return found->is_open ? found->prefix + " anonymous" : "key unknown";
}

PlainConfiguration RandomConfiguration(Random& random) {
  PlainConfiguration configuration;
  for (std::uint64_t i = random.Below(8); i > 0; --i) {
    const PlainRoute route{RandomHost(random), Pick(kPrefixes, random),
                           random.Chance(0.2)};
    const bool is_taken =
        std::any_of(configuration.routes.begin(), configuration.routes.end(),
                    [&](const PlainRoute& other) {
                      return IsSameHost(other.host, route.host) &&
                             other.prefix == route.prefix;
                    });
    if (!is_taken) {
      configuration.routes.push_back(route);
    }
  }
  if (random.Chance(0.2)) {
    return configuration;
  }
  configuration.tenants.emplace();
  std::vector<std::string> keys = kKeys;
  for (std::uint64_t i = random.Below(3); i > 0; --i) {
    PlainTenant tenant{"t" + std::to_string(i), {}};
    for (std::uint64_t n = random.Below(3); n > 0; --n) {
      tenant.keys.push_back(keys[random.Below(keys.size())]);
      std::erase(keys, tenant.keys.back());
    }
    configuration.tenants->push_back(tenant);
  }
  return configuration;
}

std::string Written(const PlainConfiguration& configuration) {
  json::array routes;
  for (const PlainRoute& route : configuration.routes) {
    routes.push_back(json::object{{"name", route.prefix},
                                  {"host", route.host},
                                  {"path_prefix", route.prefix},
                                  {"kind", "safe"},
                                  {"timeout_ms", 1000},
                                  {"allow_anonymous", route.is_open},
                                  {"service", "s"}});
  }
  json::object whole{{"version", 1},
                     {"routes", std::move(routes)},
                     {"services", json::array{json::object{{"name", "s"}}}}};
  if (configuration.tenants.has_value()) {
    json::array tenants;
    for (const PlainTenant& tenant : *configuration.tenants) {
      tenants.push_back(json::object{
          {"name", tenant.name},
          {"api_keys", json::array(tenant.keys.begin(), tenant.keys.end())}});
    }
    whole["tenants"] = std::move(tenants);
  }
  return json::serialize(whole);
}

std::string Verdict(const traffic::RouteTable& table,
                    const PlainRequest& request) {
  net::HttpRequest http;
  http.method = "GET";
  http.target = request.path;
  http.headers.Add("Host", request.host);
  const traffic::HeaderNames names = PlatformHeaderNames();
  if (request.key.has_value()) {
    http.headers.Add(names.key, *request.key);
  }
  const gateway::RequestHead head = gateway::ReadHead(http, names);
  const auto outcome = table.Match(head.host, head.path, head.key);
  if (std::holds_alternative<traffic::NoRoute>(outcome)) {
    return "no route";
  }
  if (std::holds_alternative<traffic::KeyUnknown>(outcome)) {
    return "key unknown";
  }
  const auto& match = std::get<traffic::RouteMatch>(outcome);
  return match.route->name + " " +
         (match.holder == nullptr ? "anonymous"
                                  : match.holder->workspace.value());
}

// Guards against routes and keys that are found or not depending on how a
// configuration or a caller writes them: a host with capitals, a list without
// entries, an empty key.
TEST_CASE("each request gets the route and the workspace that are its own") {
  constexpr int kConfigurations = 2000;
  constexpr int kRequests = 50;
  Random random(8);
  int served = 0;
  for (int i = 0; i < kConfigurations; ++i) {
    const PlainConfiguration plain = RandomConfiguration(random);
    const std::string text = Written(plain);
    CAPTURE(text);
    auto read = ReadConfiguration(text);
    auto* configuration = std::get_if<traffic::TrafficConfiguration>(&read);
    REQUIRE(configuration != nullptr);
    REQUIRE_FALSE(traffic::FindFault(*configuration).has_value());
    const traffic::RouteTable table(
        std::make_shared<const traffic::TrafficConfiguration>(
            std::move(*configuration)));
    for (int n = 0; n < kRequests; ++n) {
      PlainRequest request{RandomHost(random), Pick(kPaths, random), {}};
      if (random.Chance(0.8)) {
        request.key = Pick(kKeys, random);
      }
      const std::string expected = PlainVerdict(plain, request);
      const std::string verdict = Verdict(table, request);
      served += expected.find(' ') != std::string::npos &&
                expected != "no route" && expected != "key unknown";
      CAPTURE(request.host);
      CAPTURE(request.path);
      REQUIRE(verdict == expected);
    }
  }
  // The odd forms must not make the comparison empty.
  CHECK(served > kConfigurations * kRequests / 10);
}

}  // namespace
}  // namespace bilberryspool::platform
