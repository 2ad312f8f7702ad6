#include "libs/rpc/internal/server_bridge.h"

#include <map>
#include <utility>

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserverconnector.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include "libs/rpc/internal/json_text.h"

namespace bilberryspool {
namespace rpc {
namespace internal {
namespace {

constexpr const char* kParseError =
    R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,)"
    R"("message":"not a JSON-RPC 2.0 request"}})";

// Server connector of the library for a transport that is a function call: the
// response is written to the string that `info` points to.
class Connector : public jsonrpc::AbstractServerConnector {
 public:
  bool StartListening() override { return true; }
  bool StopListening() override { return true; }
  bool SendResponse(const std::string& response, void* info) override {
    *static_cast<std::string*>(info) = response;
    return true;
  }
};

}  // namespace

struct ServerBridge::Private : public jsonrpc::IProcedureInvokationHandler {
  Private()
      : handler(jsonrpc::RequestHandlerFactory::createProtocolHandler(
            jsonrpc::JSONRPC_SERVER_V2,
            *this)) {
    connector.SetHandler(handler.get());
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure,
                        const Json::Value& input,
                        Json::Value& output) override {
    const BridgeMethod& method = methods.at(procedure.GetProcedureName());
    const BridgeReply reply = method(input[kPayload].asString());
    if (reply.kind != ReplyKind::kResult) {
      throw jsonrpc::JsonRpcException(reply.code, reply.message);
    }
    output = reply.json;
  }

  // Only methods are registered, so the library never calls this.
  void HandleNotificationCall(jsonrpc::Procedure&,
                              const Json::Value&) override {}

  std::map<std::string, BridgeMethod> methods;
  Connector connector;
  std::unique_ptr<jsonrpc::IProtocolHandler> handler;
};

ServerBridge::ServerBridge() : d_(std::make_unique<Private>()) {}
ServerBridge::~ServerBridge() = default;

void ServerBridge::Add(const std::string& name, BridgeMethod method) {
  d_->methods[name] = std::move(method);
  d_->handler->AddProcedure(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                               jsonrpc::JSON_STRING, kPayload,
                                               jsonrpc::JSON_STRING, nullptr));
}

std::string ServerBridge::Handle(const std::string& request) {
  // Checks the nesting depth before the library's own parser runs.
  Json::Value parsed;
  if (!ReadJson(request, parsed) || !parsed.isObject()) {
    return kParseError;
  }
  std::string response;
  try {
    d_->connector.OnRequest(request, &response);
  } catch (const std::exception&) {
    return kParseError;
  }
  return response;
}

}  // namespace internal
}  // namespace rpc
}  // namespace bilberryspool
