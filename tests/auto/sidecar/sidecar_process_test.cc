// Tests a sidecar in a process of its own over real connections.

#include "plugins/sidecar/sidecar_process.h"

#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>

#include "libs/links/link_client.h"
#include "libs/net/http_server.h"
#include "libs/net/http_status.h"
#include "libs/net/link_authenticator.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::sidecar {
namespace {

net::HttpServerOptions LoopbackOptions() {
  net::HttpServerOptions options;
  options.listen = {"127.0.0.1", 0};
  return options;
}

// Runs `body` in a loop that has ended before a process is forked.
void InLoop(const std::function<void(net::NetworkLoop&)>& body) {
  net::NetworkLoop loop;
  loop.Run([&] { body(loop); });
}

std::uint16_t FreePort() {
  std::uint16_t port = 0;
  InLoop([&](net::NetworkLoop& loop) {
    net::HttpServer server(loop, LoopbackOptions(), [](net::HttpExchange&) {});
    REQUIRE(server.Start().empty());
    port = server.port();
    server.Drain();
  });
  return port;
}

// Guards against a VM that counts as frozen because its engine is silent: if
// the sidecar asked its engine, a probe would get no answer in time.
TEST_CASE("a sidecar answers a question for liveness without its engine") {
  const std::string key_file =
      std::filesystem::temp_directory_path() /
      ("sidecar-test-" + std::to_string(getpid()) + ".key");
  std::ofstream(key_file) << "the link key of a test, not secret\n";
  const settings::SocketAddress address{"127.0.0.1", FreePort()};
  const net::Endpoint sidecar{address.ip, address.port};
  const settings::SocketAddress engine{"127.0.0.1", FreePort()};

  const pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    settings::CommonSettings common;
    common.deployment = "test";
    common.node = NodeId("sidecar");
    common.key_file = key_file;
    std::_Exit(RunSidecar(common, {address, engine}, EngineProtocol{}));
  }
  InLoop([&](net::NetworkLoop& loop) {
    const auto loaded =
        net::LoadAuthenticator("test", NodeId("gateway"), key_file);
    links::LinkClient client(
        loop, std::get<std::shared_ptr<const net::LinkAuthenticator>>(loaded));
    const auto status_of = [&](const net::HttpRequest& request) {
      const auto result = client.Send(sidecar, request, Seconds(10));
      const auto* response = std::get_if<net::HttpResponse>(&result);
      return response == nullptr ? 0 : response->head.status;
    };
    const TimePoint limit = net::SteadyNow() + Seconds(20);
    while (status_of(MakeLivenessRequest()) == 0 && net::SteadyNow() < limit) {
      loop.SleepFor(Milliseconds(20));
    }
    CHECK(status_of(MakeLivenessRequest()) == net::status::kOk);
    // There is no engine, as any other request tells.
    net::HttpRequest other = MakeLivenessRequest();
    other.target = "/other";
    CHECK(status_of(other) == net::status::kBadGateway);
  });
  kill(child, SIGKILL);
  waitpid(child, nullptr, 0);
  std::remove(key_file.c_str());
}

}  // namespace
}  // namespace bilberryspool::sidecar
