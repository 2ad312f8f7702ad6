#include "libs/rpc/internal/client_bridge.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/errors.h>
#include <jsonrpccpp/common/exception.h>

#include "libs/rpc/internal/json_text.h"

namespace bilberryspool {
namespace rpc {
namespace internal {
namespace {

// Returns whether the text is a JSON-RPC response whose result is a string
// payload. The library's functions are declared throw(JsonRpcException), but
// its parser throws another type if values are nested more than 1000 deep,
// which terminates the process: one faulty peer would terminate all others. The
// library also accepts responses that JSON-RPC forbids, such as one with both a
// result and an error.
bool IsResponse(const std::string& text) {
#if defined(BILBERRYSPOOL_MUTATION_RPC_TRUST_RESPONSE)
  return !text.empty();
#endif
  Json::Value response;
  if (!ReadJson(text, response) || !response.isObject()) {
    return false;
  }
  if (response["jsonrpc"] != "2.0" || !response["id"].isInt()) {
    return false;
  }
  const bool has_result = response.isMember("result");
  if (has_result == response.isMember("error")) {
    return false;
  }
  if (has_result) {
    return response["result"].isString();
  }
  const Json::Value& error = response["error"];
  return error.isObject() && error["code"].isInt() &&
         error["message"].isString();
}

// Passes the library's request to the transport. Failures are stored here,
// since the library reports errors only as exceptions.
class Connector : public jsonrpc::IClientConnector {
 public:
  explicit Connector(const BridgeTransport& transport)
      : transport_(transport) {}

  void SendRPCMessage(const std::string& message,
                      std::string& result) noexcept override {
    std::string response;
    if (!transport_(message, response)) {
      failure_.kind = ReplyKind::kTransport;
      failure_.message = response;
    } else if (!IsResponse(response)) {
      failure_.kind = ReplyKind::kBadResponse;
      failure_.message = "not a JSON-RPC 2.0 response";
    } else {
      result = response;
    }
    if (has_failed()) {
      result = R"({"jsonrpc":"2.0","id":1,"result":""})";
    }
  }

  bool has_failed() const { return failure_.kind != ReplyKind::kResult; }
  const BridgeReply& failure() const { return failure_; }

 private:
  const BridgeTransport& transport_;
  BridgeReply failure_;
};

// The library prefixes the message of a standard JSON-RPC code with its own
// text, once on each side.
std::string StripLibraryPrefix(int code, std::string message) {
  const std::string text = jsonrpc::Errors::GetErrorMessage(code) + ": ";
  while (message.compare(0, text.size(), text) == 0) {
    message.erase(0, text.size());
  }
  return message;
}

BridgeReply Failure(ReplyKind kind, int code, const std::string& message) {
  BridgeReply reply;
  reply.kind = kind;
  reply.code = code;
  reply.message = message;
  return reply;
}

}  // namespace

BridgeReply CallMethod(const std::string& method,
                       const std::string& params_json,
                       const BridgeTransport& transport) {
  Json::Value params(Json::objectValue);
  params[kPayload] = params_json;
  Connector connector(transport);
  try {
    jsonrpc::Client client(connector);
    const Json::Value result = client.CallMethod(method, params);
    if (connector.has_failed()) {
      return connector.failure();
    }
    BridgeReply reply;
    reply.json = result.asString();
    return reply;
  } catch (const jsonrpc::JsonRpcException& error) {
    const int code = error.GetCode();
    return Failure(ReplyKind::kError, code,
                   StripLibraryPrefix(code, error.GetMessage()));
  } catch (const std::exception& error) {
    return Failure(ReplyKind::kBadResponse, 0, error.what());
  }
}

}  // namespace internal
}  // namespace rpc
}  // namespace bilberryspool
