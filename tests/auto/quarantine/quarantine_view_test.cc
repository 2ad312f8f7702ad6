#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "libs/quarantine/quarantine_view.h"

namespace bilberryspool::quarantine {
namespace {

const RequestFingerprint kRequest{1, 1};
const TimePoint kNow = TimePoint{} + Seconds(1000);

std::vector<QuarantineRecord> ReportWith(Verdict verdict, Duration remaining) {
  QuarantineRecord record;
  record.request = kRequest;
  record.verdict = verdict;
  record.terminations = 3;
  record.since = Seconds(4);
  record.remaining = remaining;
  return {record};
}

TerminationObserved TerminationOf(std::int64_t target) {
  TerminationObserved end;
  end.request = kRequest;
  end.run = {TargetId("t" + std::to_string(target)), Incarnation(1)};
  end.was_permitted = target > 0;
  return end;
}

TEST_CASE("the strictest of the reachable control nodes counts") {
  QuarantineView view{QuarantineViewOptions{}};
  view.Adopt("a", ReportWith(Verdict::kOneAtATime, {}), true, kNow);
  view.Adopt("b", ReportWith(Verdict::kRefused, Seconds(60)), true, kNow);
  const Judgement judgement = view.Judge(kRequest, kNow + Seconds(1));
  CHECK(judgement.verdict == Verdict::kRefused);
  CHECK(judgement.source == "b");
  CHECK(judgement.terminations == 3);
  CHECK(judgement.age == Seconds(1));
  CHECK(judgement.since == Seconds(5));
  CHECK(judgement.remaining == Seconds(59));
  view.SetReachable("b", false);
  CHECK(view.Judge(kRequest, kNow).verdict == Verdict::kOneAtATime);
  // A gateway that is cut off goes by all that it was told.
  view.SetReachable("a", false);
  CHECK(view.Judge(kRequest, kNow).verdict == Verdict::kRefused);
}

// Guards against a control node that starts anew taking back what it told.
TEST_CASE("what is told in part leaves the rest as it was") {
  QuarantineView view{QuarantineViewOptions{}};
  view.Adopt("a", ReportWith(Verdict::kRefused, Seconds(60)), true, kNow);
  view.Adopt("a", {}, false, kNow);
  CHECK(view.Judge(kRequest, kNow).verdict == Verdict::kRefused);
}

TEST_CASE("a quarantine ends without a word from the control node") {
  QuarantineView view{QuarantineViewOptions{}};
  view.Adopt("a", ReportWith(Verdict::kRefused, Seconds(60)), true, kNow);
  CHECK(view.Judge(kRequest, kNow + Seconds(60)).verdict ==
        Verdict::kOneAtATime);
}

TEST_CASE("what is told replaces what was told before") {
  QuarantineView view{QuarantineViewOptions{}};
  view.Adopt("a", ReportWith(Verdict::kRefused, Seconds(60)), true, kNow);
  view.Adopt("a", {}, true, kNow);
  CHECK(view.Judge(kRequest, kNow).verdict == Verdict::kFree);
}

// Guards against sending a copy on before the control nodes have heard of an
// end, and against a gateway that is cut off and never stops.
TEST_CASE("what a gateway has seen itself counts until others know, or alone") {
  QuarantineView view{QuarantineViewOptions{}};
  view.Adopt("a", {}, true, kNow);
  for (std::int64_t i = 0; i < 3; ++i) {
    view.OnTermination(TerminationOf(i), kNow + Seconds(5 * i));
  }
  const TimePoint last = kNow + Seconds(10);
  CHECK(view.Judge(kRequest, last).verdict == Verdict::kOneAtATime);
  CHECK(view.Judge(kRequest, last + Seconds(3)).verdict == Verdict::kFree);
  view.SetReachable("a", false);
  CHECK(view.Judge(kRequest, last + Seconds(3)).verdict == Verdict::kRefused);
}

TEST_CASE("a request that completed here is cleared, and the nodes are told") {
  QuarantineView view{QuarantineViewOptions{}};
  CHECK_FALSE(view.OnCompleted(kRequest, kNow));
  const auto clearing = view.Adopt(
      "a", ReportWith(Verdict::kRefused, Seconds(60)), true, kNow + Seconds(2));
  REQUIRE(clearing.size() == 1);
  CHECK(clearing.front().age == Seconds(2));
  CHECK(view.Judge(kRequest, kNow + Seconds(2)).verdict == Verdict::kFree);
  CHECK(view.OnCompleted(kRequest, kNow + Seconds(3)));
  // What completed long ago says nothing.
  CHECK(view.Judge(kRequest, kNow + Seconds(24)).verdict == Verdict::kRefused);
}

TEST_CASE("only the newest completions are kept") {
  RecentCompletions completions(2);
  completions.Note({1, 1}, kNow);
  completions.Note({1, 2}, kNow);
  completions.Note({1, 1}, kNow + Seconds(1));
  completions.Note({1, 3}, kNow);
  CHECK(completions.Find({1, 1}) == kNow + Seconds(1));
  CHECK_FALSE(completions.Find({1, 2}).has_value());
  CHECK(completions.Find({1, 3}).has_value());
}

}  // namespace
}  // namespace bilberryspool::quarantine
