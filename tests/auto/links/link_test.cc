#include <doctest/doctest.h>

#include <thread>

#include "libs/links/link_client.h"
#include "libs/links/link_server.h"
#include "libs/net/network_loop.h"

namespace bilberryspool::links {
namespace {

using Json = boost::json::value;

std::shared_ptr<const net::LinkAuthenticator> MakeKey(const char* deployment,
                                                      const char* key) {
  return std::make_shared<const net::LinkAuthenticator>(deployment, NodeId("n"),
                                                        key);
}

TEST_CASE("calls succeed only between peers with the same key and deployment") {
  struct Row {
    const char* deployment;
    const char* key;
    const char* method;
    Json params;
    bool is_answered;
  };
  const Row rows[] = {
      {"d", "the key of the test", "echo", boost::json::array{1}, true},
      {"d", "the key of the test", "echo", boost::json::object{}, true},
      {"d", "the key of the test", "refuse", boost::json::array{}, false},
      {"d", "the key of the test", "unheard-of", boost::json::array{}, false},
      {"d", "another key, long too", "echo", boost::json::array{}, false},
      {"e", "the key of the test", "echo", boost::json::array{}, false}};
  net::NetworkLoop loop;
  loop.Run([&] {
    int refused = 0;
    net::HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    LinkServer server(
        loop, options, MakeKey("d", "the key of the test"),
        [](net::HttpExchange& exchange) { exchange.Respond({}, "other"); },
        [&refused](const std::string&, net::LinkRefusal) { ++refused; });
    server.Register(
        "echo", [](const Json& params) { return std::optional<Json>(params); });
    server.Register("refuse",
                    [](const Json&) { return std::optional<Json>(); });
    REQUIRE(server.Start().empty());
    const net::Endpoint endpoint{"127.0.0.1", server.port()};
    for (const Row& row : rows) {
      CAPTURE(row.method);
      CAPTURE(row.key);
      LinkClient client(loop, MakeKey(row.deployment, row.key));
      const auto result =
          client.Call(endpoint, row.method, row.params, Seconds(5));
      CHECK(std::holds_alternative<Json>(result) == row.is_answered);
      if (row.is_answered) {
        CHECK(std::get<Json>(result) == row.params);
      } else {
        CHECK(std::get<LinkError>(result).kind == LinkErrorKind::kRefused);
      }
    }
    CHECK(refused == 2);
    server.Drain();
  });
}

TEST_CASE("a call to an address without a listener is reported as not sent") {
  net::NetworkLoop loop;
  loop.Run([&] {
    LinkClient client(loop, MakeKey("d", "the key of the test"));
    const auto result =
        client.Call({"127.0.0.1", 1}, "echo", boost::json::array{}, Seconds(5));
    REQUIRE(std::holds_alternative<LinkError>(result));
    CHECK(std::get<LinkError>(result).kind == LinkErrorKind::kUnreachable);
  });
}

}  // namespace
}  // namespace bilberryspool::links
