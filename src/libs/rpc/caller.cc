#include "libs/rpc/caller.h"

#include <utility>

#include "libs/rpc/internal/client_bridge.h"

namespace bilberryspool::rpc {
namespace {

using internal::BridgeReply;
using internal::ReplyKind;

RpcError ToRemoteError(const std::string& method, BridgeReply reply) {
  if (reply.code == internal::kMethodNotFoundCode) {
    return MethodNotFound{method};
  }
  if (reply.code == internal::kInvalidParamsCode) {
    return BadParams{std::move(reply.message)};
  }
  return RemoteError{reply.code, std::move(reply.message)};
}

CallResult ToResult(const std::string& method, BridgeReply reply) {
  switch (reply.kind) {
    case ReplyKind::kResult:
      return std::move(reply.json);
    case ReplyKind::kError:
      return ToRemoteError(method, std::move(reply));
    case ReplyKind::kTransport:
      return TransportFailure{std::move(reply.message)};
    case ReplyKind::kBadResponse:
      break;
  }
  return BadResponse{std::move(reply.message)};
}

}  // namespace

Caller::Caller(Transport transport) : transport_(std::move(transport)) {}

CallResult Caller::Call(const std::string& method,
                        const std::string& params_json) const {
  const auto call_transport = [this](const std::string& request,
                                     std::string& response) {
    TransportResult result = transport_(request);
    if (auto* failure = std::get_if<TransportFailure>(&result)) {
      response = std::move(failure->message);
      return false;
    }
    response = std::move(std::get<std::string>(result));
    return true;
  };
  return ToResult(method,
                  internal::CallMethod(method, params_json, call_transport));
}

}  // namespace bilberryspool::rpc
