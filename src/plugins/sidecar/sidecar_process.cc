#include "plugins/sidecar/sidecar_process.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <utility>

#include "libs/links/link_server.h"
#include "libs/net/connection_registry.h"
#include "libs/net/http_client.h"
#include "libs/net/http_status.h"
#include "libs/net/network_loop.h"
#include "libs/telemetry/log.h"
#include "plugins/sidecar/engine_reader.h"
#include "plugins/sidecar/engine_relay.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::sidecar {

namespace {

class Process {
 public:
  Process(const settings::SidecarSettings& settings,
          EngineProtocol protocol,
          std::shared_ptr<const net::LinkAuthenticator> authenticator)
      : engine_{settings.engine.ip, settings.engine.port},
        log_("sidecar"),
        relay_(loop_),
        reader_(loop_, engine_, std::move(protocol)),
        server_(
            loop_,
            ServerOptions(settings),
            std::move(authenticator),
            [this](net::HttpExchange& exchange) { Serve(exchange); },
            [this](const std::string& peer, net::LinkRefusal refusal) {
              log_.Warn("Refused a peer.",
                        {{"peer", peer}, {"reason", net::Describe(refusal)}});
            }) {}

  void Run() {
    loop_.Run([this] {
      const std::string error = server_.Start();
      if (!error.empty()) {
        std::cerr << "sidecar: " << error << "\n";
        std::_Exit(1);
      }
      log_.Info("Started.", {{"engine", engine_.ToString()}});
      loop_.OnStopSignal([this] { loop_.Stop(); });
      loop_.OnReloadSignal([this] {
        log_.Info("Changed settings take effect at the next start.");
      });
      loop_.WaitForStop();
      log_.Info("Stopped.");
      std::_Exit(0);
    });
  }

 private:
  static net::HttpServerOptions ServerOptions(
      const settings::SidecarSettings& settings) {
    net::HttpServerOptions options;
    options.listen = {settings.peers_listen.ip, settings.peers_listen.port};
    options.registry = std::make_shared<net::ConnectionRegistry>(
        net::BudgetForMemory(settings.memory_mb));
    return options;
  }

  void Serve(net::HttpExchange& exchange) {
    if (exchange.request().target == kLivenessTarget) {
      exchange.Respond({}, "");
      return;
    }
    const std::string why = EngineReader::Handles(exchange.request())
                                ? reader_.Answer(exchange)
                                : relay_.Relay(exchange, engine_);
    SetReachable(why.empty(), why);
  }

  void SetReachable(bool is_reachable, const std::string& why) {
    if (is_reachable == is_reachable_) {
      return;
    }
    is_reachable_ = is_reachable;
    log_.Info(is_reachable ? "Engine regained." : "Engine lost.",
              {{"engine", engine_.ToString()}, {"why", why}});
  }

  net::Endpoint engine_;
  telemetry::Logger log_;
  net::NetworkLoop loop_;
  EngineRelay relay_;
  EngineReader reader_;
  links::LinkServer server_;
  bool is_reachable_ = true;
};

}  // namespace

int RunSidecar(const settings::CommonSettings& common,
               const settings::SidecarSettings& settings,
               const EngineProtocol& protocol) {
  const auto loaded =
      net::LoadAuthenticator(common.deployment, common.node, common.key_file);
  if (const auto* error = std::get_if<std::string>(&loaded)) {
    std::cerr << "sidecar: " << *error << "\n";
    return 1;
  }
  const auto& authenticator =
      std::get<std::shared_ptr<const net::LinkAuthenticator>>(loaded);
  Process process(settings, protocol, authenticator);
  process.Run();
  return 0;
}

}  // namespace bilberryspool::sidecar
