#include "plugins/sidecar/sidecar_call.h"

#include <doctest/doctest.h>

#include "plugins/sidecar/engine_reader.h"

namespace bilberryspool::sidecar {
namespace {

TEST_CASE("a question for liveness is none for the engine's reports") {
  const net::HttpRequest request = MakeLivenessRequest();
  CHECK(request.method == "GET");
  CHECK(request.target == kLivenessTarget);
  CHECK(request.body.empty());
  CHECK_FALSE(EngineReader::Handles(request));
}

TEST_CASE("a request is repeated only where its requester says so") {
  net::HttpRequest request;
  CHECK_FALSE(RepeatTimeOf(request).has_value());
  request.headers.Set(kRepeatField, "2000");
  CHECK(RepeatTimeOf(request) == Milliseconds(2));
  request.headers.Set(kRepeatField, "-1");
  CHECK_FALSE(RepeatTimeOf(request).has_value());
}

}  // namespace
}  // namespace bilberryspool::sidecar
