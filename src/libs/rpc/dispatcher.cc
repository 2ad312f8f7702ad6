#include "libs/rpc/dispatcher.h"

#include <utility>

#include "libs/base/overloaded.h"

namespace bilberryspool::rpc {
namespace {

using internal::BridgeReply;
using internal::ReplyKind;

BridgeReply ToReply(MethodResult result) {
  return std::visit(
      Overloaded{
          [](std::string&& json) {
            return BridgeReply{ReplyKind::kResult, std::move(json), 0, ""};
          },
          [](BadParams&& error) {
            return BridgeReply{ReplyKind::kError, "",
                               internal::kInvalidParamsCode,
                               std::move(error.message)};
          },
          [](RemoteError&& error) {
            return BridgeReply{ReplyKind::kError, "", error.code,
                               std::move(error.message)};
          },
      },
      std::move(result));
}

}  // namespace

void Dispatcher::Register(const std::string& name, Method method) {
  bridge_.Add(name, [method = std::move(method)](const std::string& params) {
    return ToReply(method(params));
  });
}

std::string Dispatcher::Handle(const std::string& request_body) {
  return bridge_.Handle(request_body);
}

}  // namespace bilberryspool::rpc
