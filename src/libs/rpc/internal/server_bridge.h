// Compiled as C++14 and as C++20: use nothing later than C++14 here.

#ifndef LIBS_RPC_INTERNAL_SERVER_BRIDGE_H_
#define LIBS_RPC_INTERNAL_SERVER_BRIDGE_H_

#include <functional>
#include <memory>
#include <string>

#include "libs/rpc/internal/bridge_reply.h"

namespace bilberryspool {
namespace rpc {
namespace internal {

// Runs a method and returns kResult or kError. Must not throw.
using BridgeMethod = std::function<BridgeReply(const std::string& params_json)>;

// libjsonrpccpp's server without its transports.
class ServerBridge {
 public:
  ServerBridge();
  ~ServerBridge();

  // Replaces a method of the same name.
  void Add(const std::string& name, BridgeMethod method);
  // Returns the response to one request body. Never throws.
  std::string Handle(const std::string& request);

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace internal
}  // namespace rpc
}  // namespace bilberryspool

#endif  // LIBS_RPC_INTERNAL_SERVER_BRIDGE_H_
