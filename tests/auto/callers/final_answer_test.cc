#include "plugins/callers/final_answer.h"

#include <doctest/doctest.h>

#include "auto/callers/fake_exchange.h"

namespace bilberryspool::callers {
namespace {

using attempts::AnswerCaller;
using attempts::FinalKind;
using attempts::FinalReason;

TEST_CASE("final answers differ in status and header fields") {
  struct Row {
    FinalKind kind;
    FinalReason reason;
    int status;
    const char* outcome;
  };
  const Row rows[] = {
      {FinalKind::kNotRun, FinalReason::kNoTarget, 503, "not-run"},
      {FinalKind::kNotRun, FinalReason::kDeadline, 504, "not-run"},
      {FinalKind::kNotRun, FinalReason::kBodyMismatch, 422, "not-run"},
      {FinalKind::kUnknown, FinalReason::kTargetLost, 502, "unknown"},
      {FinalKind::kUnknown, FinalReason::kInProgress, 409, "unknown"}};
  for (const Row& row : rows) {
    CAPTURE(row.outcome);
    AnswerCaller answer;
    answer.kind = row.kind;
    answer.reason = row.reason;
    answer.retry_after = Milliseconds(1200);
    FakeExchange exchange(net::HttpRequest{});
    Respond(exchange, MakeFinalAnswer(answer));
    CHECK(exchange.head().status == row.status);
    CHECK(exchange.head().headers.Find("Bilberryspool-Outcome") == row.outcome);
    CHECK(exchange.head().headers.Find("Retry-After") == "2");
    CHECK(exchange.head().headers.Find("Bilberryspool-Retry-After-Ms") ==
          "1200");
  }
}

}  // namespace
}  // namespace bilberryspool::callers
