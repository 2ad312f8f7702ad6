// Measures the time of one call of libs/rpc, with caller and dispatcher in one
// thread and no transport between them. Prints a line for each size of the
// parameters.
//
//   rpc_bench [CALLS]

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

#include "libs/rpc/caller.h"
#include "libs/rpc/dispatcher.h"

namespace bilberryspool::rpc {
namespace {

constexpr int kDefaultCalls = 20'000;

double MicrosecondsPerCall(const Caller& caller,
                           const std::string& params,
                           int calls) {
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < calls; ++i) {
    if (std::holds_alternative<RpcError>(caller.Call("echo", params))) {
      return -1;
    }
  }
  const std::chrono::duration<double, std::micro> elapsed =
      std::chrono::steady_clock::now() - start;
  return elapsed.count() / calls;
}

void Run(int calls) {
  Dispatcher dispatcher;
  dispatcher.Register(
      "echo", [](const std::string& params) { return MethodResult(params); });
  const Caller caller([&](const std::string& body) -> TransportResult {
    return dispatcher.Handle(body);
  });
  for (const std::size_t bytes : {10U, 100U, 1000U, 10'000U}) {
    std::string params = R"({"k":1)";
    for (int i = 0; params.size() + 1 < bytes; ++i) {
      params += ",\"field" + std::to_string(i) + "\":" + std::to_string(i);
    }
    params += "}";
    std::printf("%6zu bytes of parameters: %8.2f us a call\n", params.size(),
                MicrosecondsPerCall(caller, params, calls));
  }
}

}  // namespace
}  // namespace bilberryspool::rpc

int main(int argc, char** argv) {
  const int calls = argc > 1 ? std::atoi(argv[1]) : 0;
  bilberryspool::rpc::Run(calls > 0 ? calls
                                    : bilberryspool::rpc::kDefaultCalls);
  return 0;
}
