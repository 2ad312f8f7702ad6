// Calls between the system's processes: JSON-RPC 2.0 with libjsonrpccpp. Errors
// are values and the transport is a function, so that calls run on fibers as
// well as in tests.
//
// Parameters and results are encoded and decoded by the codecs of the methods
// (JSON by convention); the JSON-RPC envelope carries each as one string:
//
//     {"id":1,"jsonrpc":"2.0","method":"ping","params":{"json":"{\"n\":1}"}}
//     {"id":1,"jsonrpc":"2.0","result":"{\"n\":2}"}

#ifndef LIBS_RPC_CALLER_H_
#define LIBS_RPC_CALLER_H_

#include <functional>
#include <string>
#include <variant>

#include "libs/rpc/rpc_error.h"

namespace bilberryspool::rpc {

// The body of the response, or why there is none.
using TransportResult = std::variant<std::string, TransportFailure>;

// Sends a request body to the peer and returns the response. May suspend its
// fiber; must not throw.
using Transport = std::function<TransportResult(const std::string& body)>;

// The result that the method returned, or an error.
using CallResult = std::variant<std::string, RpcError>;

// The client side. Has no state between calls, so any number of calls may be in
// progress.
class Caller {
 public:
  explicit Caller(Transport transport);

  // `params_json` must be UTF-8; its content is checked by the method, not
  // here.
  CallResult Call(const std::string& method,
                  const std::string& params_json) const;

 private:
  Transport transport_;
};

}  // namespace bilberryspool::rpc

#endif  // LIBS_RPC_CALLER_H_
