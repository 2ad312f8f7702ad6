#ifndef LIBS_RPC_INTERNAL_JSON_TEXT_H_
#define LIBS_RPC_INTERNAL_JSON_TEXT_H_

#include <string>

#include <jsoncpp/json/value.h>

namespace bilberryspool {
namespace rpc {
namespace internal {

// Returns false if `text` is not exactly one JSON value or is nested more than
// 16 deep. Never throws.
bool ReadJson(const std::string& text, Json::Value& value);

}  // namespace internal
}  // namespace rpc
}  // namespace bilberryspool

#endif  // LIBS_RPC_INTERNAL_JSON_TEXT_H_
