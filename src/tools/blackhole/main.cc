// A TCP relay for tests with real processes. Faults are injected over HTTP:
//   POST /silence   drops all data of the open connections; new ones work
//   POST /blackout  drops all data of open and new connections until /heal
//   POST /cut       closes the open connections, and new ones until /heal
//   POST /heal      new connections work again
//   GET  /          numbers of open and of accepted connections

#include <gflags/gflags.h>

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdlib>
#include <iostream>

#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"
#include "tools/blackhole/relay.h"

DEFINE_string(listen, "", "IP address and port to relay from");
DEFINE_string(to, "", "IP address and port to relay to");
DEFINE_string(control, "", "IP address and port of the HTTP control");

namespace bilberryspool::blackhole {
namespace {

bool ExecuteCommand(const std::string& command, Relay& relay) {
  if (command == "/silence") {
    relay.SilenceOpenConnections();
    return true;
  }
  if (command == "/blackout") {
    relay.set_new_connections(NewConnections::kSilent);
    relay.SilenceOpenConnections();
    return true;
  }
  if (command == "/cut") {
    relay.set_new_connections(NewConnections::kRefused);
    relay.CloseOpenConnections();
    return true;
  }
  if (command == "/heal") {
    relay.set_new_connections(NewConnections::kRelayed);
    return true;
  }
  return command == "/";
}

void HandleExchange(net::HttpExchange& exchange, Relay& relay) {
  constexpr int kOk = 200;
  constexpr int kNotFound = 404;
  net::HttpResponseHead head;
  head.status =
      ExecuteCommand(exchange.request().target, relay) ? kOk : kNotFound;
  const boost::json::object counts{{"open", relay.open_connections()},
                                   {"accepted", relay.accepted()}};
  exchange.Respond(std::move(head), boost::json::serialize(counts));
}

int Run() {
  const auto listen = net::ParseEndpoint(FLAGS_listen);
  const auto to = net::ParseEndpoint(FLAGS_to);
  const auto control = net::ParseEndpoint(FLAGS_control);
  if (!listen || !to || !control) {
    std::cerr << "blackhole: --listen, --to and --control are IP:PORT\n";
    return 1;
  }
  net::NetworkLoop loop;
  loop.Run([&] {
    Relay relay(loop.io(), *listen, *to);
    net::HttpServerOptions options;
    options.listen = *control;
    net::HttpServer server(loop, options, [&](net::HttpExchange& exchange) {
      HandleExchange(exchange, relay);
    });
    const std::string error = relay.Start() + server.Start();
    if (!error.empty()) {
      std::cerr << "blackhole: " << error << "\n";
      std::_Exit(1);
    }
    loop.OnStopSignal([] { std::_Exit(0); });
    loop.WaitForStop();
  });
  return 0;
}

}  // namespace
}  // namespace bilberryspool::blackhole

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bilberryspool::blackhole::Run();
}
