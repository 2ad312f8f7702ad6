#include <doctest/doctest.h>

#include <cstdlib>

#include "libs/base/overloaded.h"
#include "libs/base/random.h"
#include "libs/rpc/caller.h"
#include "libs/rpc/dispatcher.h"

namespace bilberryspool::rpc {
namespace {

void RegisterMethods(Dispatcher& dispatcher) {
  dispatcher.Register(
      "echo", [](const std::string& params) { return MethodResult(params); });
  dispatcher.Register("refuse", [](const std::string&) {
    return MethodResult(RemoteError{7, "not the leader"});
  });
  dispatcher.Register("choosy", [](const std::string&) {
    return MethodResult(BadParams{"term is missing"});
  });
  dispatcher.Register("nested", [&](const std::string&) {
    return MethodResult(dispatcher.Handle(
        R"({"jsonrpc":"2.0","id":5,"method":"echo","params":{"json":"[1]"}})"));
  });
}

Caller CallerOf(Dispatcher& dispatcher) {
  return Caller([&](const std::string& body) -> TransportResult {
    return dispatcher.Handle(body);
  });
}

Caller CallerWithResponse(TransportResult response) {
  return Caller([response](const std::string&) { return response; });
}

std::string NestedArrays(int depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string Describe(const CallResult& result) {
  if (const auto* json = std::get_if<std::string>(&result)) {
    return *json;
  }
  return std::visit(
      Overloaded{
          [](const MethodNotFound& e) { return "no method " + e.method; },
          [](const BadParams& e) { return "bad parameters: " + e.message; },
          [](const TransportFailure& e) { return "transport: " + e.message; },
          [](const BadResponse& e) { return "bad response: " + e.message; },
          [](const RemoteError& e) {
            return std::to_string(e.code) + ": " + e.message;
          }},
      std::get<RpcError>(result));
}

TEST_CASE("a call ends with its result or a typed error") {
  Dispatcher dispatcher;
  RegisterMethods(dispatcher);
  struct Row {
    std::string method;
    std::string params;
    CallResult result;
  };
  const Row rows[] = {
      {"echo", R"({"a":[1,-2.5,"é\n\u0007",18446744073709551615]})",
       R"({"a":[1,-2.5,"é\n\u0007",18446744073709551615]})"},
      {"echo", "", ""},
      {"echo", "no \"JSON\"\n\t\x01\\", "no \"JSON\"\n\t\x01\\"},
      {"echo", NestedArrays(5000), NestedArrays(5000)},
      {"refuse", "{}", RpcError(RemoteError{7, "not the leader"})},
      {"choosy", "{}", RpcError(BadParams{"term is missing"})},
      {"unknown", "{}", RpcError(MethodNotFound{"unknown"})},
      {"nested", "{}", "{\"id\":5,\"jsonrpc\":\"2.0\",\"result\":\"[1]\"}\n"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.method);
    CAPTURE(row.params);
    const CallResult result = CallerOf(dispatcher).Call(row.method, row.params);
    CHECK(Describe(result) == Describe(row.result));
  }
}

// Guards against a process that is terminated by a response of a faulty peer.
// The response nests 5000 arrays; libjsonrpccpp declares
// throw(JsonRpcException), but its parser throws another type, which terminates
// the process.
TEST_CASE("a deeply nested response does not end the process") {
  const std::string nested =
      R"({"jsonrpc":"2.0","id":1,"result":)" + NestedArrays(5000) + "}";
  CHECK(CallerWithResponse(nested).Call("echo", "{}").index() == 1);
}

TEST_CASE("an invalid response or a failed transport is an error") {
  const char* bodies[] = {
      "",
      "{",
      "null",
      "[]",
      "{}",
      R"({"jsonrpc":"1.0","id":1,"result":"1"})",
      R"({"jsonrpc":2,"id":1,"result":"1"})",
      R"({"jsonrpc":"2.0","result":"1"})",
      R"({"jsonrpc":"2.0","id":"x","result":"1"})",
      R"({"jsonrpc":"2.0","id":1})",
      R"({"jsonrpc":"2.0","id":1,"result":1})",
      R"({"jsonrpc":"2.0","id":1,"result":"1","error":{"code":1,"message":""}})",
      R"({"jsonrpc":"2.0","id":1,"error":3})",
      R"({"jsonrpc":"2.0","id":1,"error":{"code":"x","message":"m"}})",
      R"({"jsonrpc":"2.0","id":1,"error":{"code":1e20,"message":"m"}})",
      R"({"jsonrpc":"2.0","id":1,"error":{"code":1,"message":[]}})",
      R"({"jsonrpc":"2.0","id":1,"result":"1"} x)"};
  for (const char* body : bodies) {
    CAPTURE(body);
    const CallResult result =
        CallerWithResponse(std::string(body)).Call("echo", "{}");
    const auto* error = std::get_if<RpcError>(&result);
    REQUIRE(error != nullptr);
    CHECK(std::holds_alternative<BadResponse>(*error));
  }
  CHECK(CallerWithResponse(TransportFailure{"refused"}).Call("echo", "{}") ==
        CallResult(RpcError(TransportFailure{"refused"})));
}

TEST_CASE("a faulty request gets an error response") {
  struct Row {
    std::string body;
    const char* code;
  };
  const Row rows[] = {
      {"", "-32700"},
      {"[]", "-32700"},
      {NestedArrays(5000), "-32700"},
      {R"({"jsonrpc":"2.0","id":1})", "-32600"},
      {R"({"jsonrpc":"2.0","id":1,"method":3})", "-32600"},
      {R"({"jsonrpc":"2.0","id":1,"method":"echo","params":3})", "-32600"},
      {R"({"jsonrpc":"2.0","id":1,"method":"nothing"})", "-32601"},
      {R"({"jsonrpc":"2.0","id":1,"method":"echo"})", "-32602"},
      {R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{}})", "-32602"},
      {R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"json":3}})",
       "-32602"},
  };
  Dispatcher dispatcher;
  RegisterMethods(dispatcher);
  for (const Row& row : rows) {
    CAPTURE(row.body);
    const std::string response = dispatcher.Handle(row.body);
    CAPTURE(response);
    CHECK(response.find(row.code) != std::string::npos);
  }
}

TEST_CASE("mutated requests and responses are answered") {
  const char* seeds_text = std::getenv("BILBERRYSPOOL_SEEDS");
  const int seeds = seeds_text != nullptr ? std::atoi(seeds_text) : 400;
  Dispatcher dispatcher;
  RegisterMethods(dispatcher);
  const std::string originals[] = {
      R"({"jsonrpc":"2.0","id":1,"method":"echo","params":{"json":"[1]"}})",
      R"({"jsonrpc":"2.0","id":1,"error":{"code":-5,"message":"no"}})",
      R"({"jsonrpc":"2.0","id":1,"result":"[1,2.5]"})"};
  const std::string bytes = "{}[]\",:0123456789eE-.ntf\\u ";
  for (int seed = 0; seed < seeds; ++seed) {
    CAPTURE(seed);
    Random random(static_cast<std::uint64_t>(seed));
    std::string body = originals[seed % 3];
    for (std::uint64_t i = 0; i <= random.Below(4); ++i) {
      const std::size_t at = random.Below(body.size());
      if (random.Chance(0.3)) {
        body.erase(at, random.Below(8));
      } else {
        body[at] = random.Chance(0.8) ? bytes[random.Below(bytes.size())]
                                      : static_cast<char>(random.Below(256));
      }
      body += body.empty() ? " " : "";
    }
    CHECK_NOTHROW(dispatcher.Handle(body));
    CHECK_NOTHROW(CallerWithResponse(body).Call("echo", "{}"));
  }
}

}  // namespace
}  // namespace bilberryspool::rpc
