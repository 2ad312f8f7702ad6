// Compiled as C++14 and as C++20: use nothing later than C++14 here.

#ifndef LIBS_RPC_INTERNAL_BRIDGE_REPLY_H_
#define LIBS_RPC_INTERNAL_BRIDGE_REPLY_H_

#include <string>

namespace bilberryspool {
namespace rpc {
namespace internal {

enum class ReplyKind {
  kResult,       // json
  kError,        // code and message, of JSON-RPC or of the method
  kTransport,    // message
  kBadResponse,  // message; not a JSON-RPC 2.0 response
};

// Outcome of one call, on either side of the link.
struct BridgeReply {
  ReplyKind kind = ReplyKind::kResult;
  std::string json;
  int code = 0;
  std::string message;
};

// Name of the only parameter of each method: the payload as one string. With
// the payload as JSON inside the envelope, jsoncpp would build and serialize
// its tree about ten times per call.
constexpr const char* kPayload = "json";

// Error codes defined by JSON-RPC 2.0.
constexpr int kMethodNotFoundCode = -32601;
constexpr int kInvalidParamsCode = -32602;

}  // namespace internal
}  // namespace rpc
}  // namespace bilberryspool

#endif  // LIBS_RPC_INTERNAL_BRIDGE_REPLY_H_
