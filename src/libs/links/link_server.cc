#include "libs/links/link_server.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "libs/links/link_headers.h"
#include "libs/links/link_timeouts.h"
#include "libs/net/http_status.h"
#include "libs/rpc/dispatcher.h"

namespace bilberryspool::links {

namespace {

net::HttpServerOptions WithIdleTimeout(net::HttpServerOptions options) {
  options.idle_timeout = kServerIdleTimeout;
  return options;
}

}  // namespace

LinkServer::LinkServer(
    net::NetworkLoop& loop,
    net::HttpServerOptions options,
    std::shared_ptr<const net::LinkAuthenticator> authenticator,
    net::HttpHandler fallback_handler,
    OnRefused on_refused)
    : authenticator_(std::move(authenticator)),
      fallback_handler_(std::move(fallback_handler)),
      on_refused_(std::move(on_refused)),
      dispatcher_(std::make_unique<rpc::Dispatcher>()),
      server_(std::make_unique<net::HttpServer>(
          loop,
          WithIdleTimeout(std::move(options)),
          [this](net::HttpExchange& exchange) { Handle(exchange); })) {}

LinkServer::~LinkServer() = default;

void LinkServer::Register(const std::string& method, Method handler) {
  dispatcher_->Register(
      method,
      [handler = std::move(handler)](
          const std::string& params_json) -> rpc::MethodResult {
        boost::system::error_code error;
        const boost::json::value params =
            boost::json::parse(params_json, error);
        if (error) {
          return rpc::BadParams{"not JSON"};
        }
        const auto result = handler(params);
        if (!result.has_value()) {
          return rpc::BadParams{"not understood"};
        }
        return boost::json::serialize(*result);
      });
}

std::string LinkServer::Start() {
  return server_->Start();
}

void LinkServer::Drain() {
  server_->Drain();
}

std::uint16_t LinkServer::port() const {
  return server_->port();
}

void LinkServer::Handle(net::HttpExchange& exchange) {
  const auto checked = authenticator_->CheckRequest(exchange.request());
  if (const auto* refusal = std::get_if<net::LinkRefusal>(&checked)) {
    on_refused_(exchange.peer_address(), *refusal);
    net::HttpResponseHead head;
    head.status = net::status::kUnauthorized;
    exchange.Respond(std::move(head), net::Describe(*refusal));
    return;
  }
  if (exchange.request().target != kRpcPath) {
    fallback_handler_(exchange);
    return;
  }
  const std::string body = dispatcher_->Handle(exchange.request().body);
  net::HttpResponseHead head;
  head.headers.Add("Content-Type", "application/json");
  exchange.Respond(std::move(head), body);
}

}  // namespace bilberryspool::links
