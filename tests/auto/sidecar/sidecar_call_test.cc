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

}  // namespace
}  // namespace bilberryspool::sidecar
