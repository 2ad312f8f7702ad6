// Tests relaying calls to engines over real connections.

#include "plugins/sidecar/engine_relay.h"

#include <doctest/doctest.h>

#include <functional>
#include <string>
#include <thread>

#include "libs/net/http_client.h"
#include "libs/net/http_server.h"
#include "libs/net/http_status.h"
#include "libs/net/network_loop.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::sidecar {
namespace {

net::HttpServerOptions LoopbackOptions() {
  net::HttpServerOptions options;
  options.listen = {"127.0.0.1", 0};
  return options;
}

// An engine, a relay in front of it, and a requester, in one loop.
struct RelayFixture {
  net::NetworkLoop& loop;
  net::Endpoint relay;
  net::HttpRequest seen;    // by the engine
  std::string relay_error;  // why the engine did not answer
  bool is_silent = false;   // the engine accepts calls without answering
  int engine_status = 202;
  int silent_calls = 0;  // calls that the engine leaves unanswered at first
  int active_calls = 0;  // calls in the engine
  int calls = 0;         // calls that reached the engine

  // Serves requests as the engine.
  void Serve(net::HttpExchange& exchange) {
    ++active_calls;
    ++calls;
    seen = exchange.request();
    if (is_silent || calls <= silent_calls) {
      loop.SleepFor(Milliseconds(300));
    }
    net::HttpResponseHead head;
    head.status = engine_status;
    exchange.Respond(std::move(head), "said");
    --active_calls;
  }

  net::HttpResponse Call(const net::HttpRequest& request) {
    net::HttpClient client(loop, {});
    auto result = client.Send(relay, request, Seconds(5));
    REQUIRE(std::holds_alternative<net::HttpResponse>(result));
    return std::get<net::HttpResponse>(result);
  }
};

void WithFixture(const std::function<void(RelayFixture&)>& body) {
  net::NetworkLoop loop;
  std::thread thread([&] {
    loop.Run([&] {
      RelayFixture fixture{loop};
      net::HttpServer engine(
          loop, LoopbackOptions(),
          [&fixture](net::HttpExchange& exchange) { fixture.Serve(exchange); });
      REQUIRE(engine.Start().empty());
      const net::Endpoint at{"127.0.0.1", engine.port()};
      EngineRelay relay(loop);
      net::HttpServer relay_server(
          loop, LoopbackOptions(), [&](net::HttpExchange& exchange) {
            fixture.relay_error = relay.Relay(exchange, at);
          });
      REQUIRE(relay_server.Start().empty());
      fixture.relay = {"127.0.0.1", relay_server.port()};
      body(fixture);
      // Drain() does not wait for calls that their requesters gave up.
      while (fixture.active_calls > 0) {
        loop.SleepFor(Milliseconds(10));
      }
      relay_server.Drain();
      engine.Drain();
    });
  });
  thread.join();
}

net::HttpRequest Order() {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/order";
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add(kTimeoutField, "50");
  request.headers.Add(kEngineField, "10.0.0.1:80");
  request.body = R"({"op":"hold","step":7})";
  return request;
}

TEST_CASE("the engine gets the order and the requester the engine's answer") {
  WithFixture([](RelayFixture& fixture) {
    for (const int status : {200, 202, 409}) {
      CAPTURE(status);
      fixture.engine_status = status;
      const net::HttpResponse answer = fixture.Call(Order());
      CHECK(answer.head.status == status);
      CHECK(answer.body == "said");
      CHECK(fixture.relay_error.empty());
      CHECK(fixture.seen.method == "POST");
      CHECK(fixture.seen.target == "/order");
      CHECK(fixture.seen.body == Order().body);
      CHECK_FALSE(fixture.seen.headers.Find(kTimeoutField).has_value());
      CHECK_FALSE(fixture.seen.headers.Find(kEngineField).has_value());
    }
  });
}

// Guards against a control node considering the relaying node failed because of
// one unanswered order. The requester's own timeout expired before the relay
// reported that it works and its engine does not answer.
TEST_CASE("a silent engine is reported within the requester's timeout") {
  WithFixture([](RelayFixture& fixture) {
    fixture.is_silent = true;
    const net::HttpResponse answer = fixture.Call(Order());
    CHECK(answer.head.status == net::status::kBadGateway);
    CHECK_FALSE(fixture.relay_error.empty());
    // The next call does not reuse the connection that is still waiting.
    fixture.is_silent = false;
    CHECK(fixture.Call(Order()).head.status == 202);
  });
}

// Guards against a group that waits for one slow answer of an engine.
TEST_CASE("a request that may be repeated does not wait for a slow answer") {
  struct Row {
    const char* name;
    const char* repeat_after_us;
    int silent_calls;
    int status;
    int calls;
  };
  constexpr Row kRows[] = {
      {"answered at once", "40000", 0, 202, 1},
      {"the first call is slow", "10000", 1, 202, 2},
      {"both calls are slow", "10000", 2, net::status::kBadGateway, 2},
      {"not to be repeated", "0", 1, net::status::kBadGateway, 1},
      {"no number", "soon", 1, net::status::kBadGateway, 1}};
  for (const Row& row : kRows) {
    CAPTURE(row.name);
    WithFixture([&row](RelayFixture& fixture) {
      fixture.silent_calls = row.silent_calls;
      net::HttpRequest order = Order();
      order.headers.Add(kRepeatField, row.repeat_after_us);
      CHECK(fixture.Call(order).head.status == row.status);
      CHECK(fixture.calls == row.calls);
      CHECK_FALSE(fixture.seen.headers.Find(kRepeatField).has_value());
    });
  }
}

}  // namespace
}  // namespace bilberryspool::sidecar
