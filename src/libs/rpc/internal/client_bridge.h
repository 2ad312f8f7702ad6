// Compiled as C++14 and as C++20: use nothing later than C++14 here.

#ifndef LIBS_RPC_INTERNAL_CLIENT_BRIDGE_H_
#define LIBS_RPC_INTERNAL_CLIENT_BRIDGE_H_

#include <functional>
#include <string>

#include "libs/rpc/internal/bridge_reply.h"

namespace bilberryspool {
namespace rpc {
namespace internal {

// Sends a request body and sets `response` to the response body. On failure
// returns false and sets `response` to the error text. Must not throw.
using BridgeTransport =
    std::function<bool(const std::string& request, std::string& response)>;

// Calls `method` over `transport` through libjsonrpccpp. Never throws.
BridgeReply CallMethod(const std::string& method,
                       const std::string& params_json,
                       const BridgeTransport& transport);

}  // namespace internal
}  // namespace rpc
}  // namespace bilberryspool

#endif  // LIBS_RPC_INTERNAL_CLIENT_BRIDGE_H_
