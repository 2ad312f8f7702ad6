#ifndef LIBS_RPC_RPC_ERROR_H_
#define LIBS_RPC_RPC_ERROR_H_

#include <string>
#include <variant>

namespace bilberryspool::rpc {

// The peer does not have this method, as it runs another version.
struct MethodNotFound {
  std::string method;
  bool operator==(const MethodNotFound&) const = default;
};

// The method can't decode the parameters.
struct BadParams {
  std::string message;
  bool operator==(const BadParams&) const = default;
};

// The request may or may not have run.
struct TransportFailure {
  std::string message;
  bool operator==(const TransportFailure&) const = default;
};

// The reply is not a JSON-RPC response; the request may have run.
struct BadResponse {
  std::string message;
  bool operator==(const BadResponse&) const = default;
};

// The method refused or failed; the codes are defined by the method.
struct RemoteError {
  int code = 0;
  std::string message;
  bool operator==(const RemoteError&) const = default;
};

using RpcError = std::variant<MethodNotFound,
                              BadParams,
                              TransportFailure,
                              BadResponse,
                              RemoteError>;

}  // namespace bilberryspool::rpc

#endif  // LIBS_RPC_RPC_ERROR_H_
