#ifndef LIBS_RPC_DISPATCHER_H_
#define LIBS_RPC_DISPATCHER_H_

#include <functional>
#include <string>
#include <variant>

#include "libs/rpc/internal/server_bridge.h"
#include "libs/rpc/rpc_error.h"

namespace bilberryspool::rpc {

// The result as UTF-8 JSON text, or an error.
using MethodResult = std::variant<std::string, BadParams, RemoteError>;

// `params_json` comes unchecked from the peer; the method returns BadParams if
// it can't be decoded. Must not throw.
using Method = std::function<MethodResult(const std::string& params_json)>;

// The server side of JSON-RPC 2.0 between the system's processes, independent
// of the transport: takes a request body and returns a response body.
//
// All methods must be registered before the first request. A method may suspend
// its fiber, so calls on one thread may be nested.
class Dispatcher {
 public:
  // Replaces a method of the same name.
  void Register(const std::string& name, Method method);

  // Returns the response body; `request_body` may hold anything.
  std::string Handle(const std::string& request_body);

 private:
  internal::ServerBridge bridge_;
};

}  // namespace bilberryspool::rpc

#endif  // LIBS_RPC_DISPATCHER_H_
