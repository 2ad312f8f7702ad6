#include "libs/groups/round_codec.h"

#include <doctest/doctest.h>

#include <cmath>
#include <string>
#include <vector>

namespace bilberryspool::groups {
namespace {

EngineReport BusyReport() {
  EngineReport report;
  report.epoch = GroupEpoch(3);
  report.is_open = true;
  report.step = StepNumber(812);
  report.map = MapVersion(1U << 21U);
  report.prepared = MapVersion((1U << 21U) + 1);
  report.armed = ArmedMap{MapVersion((1U << 21U) + 1), StepNumber(815)};
  report.held = StepNumber(815);
  report.running = 5;
  report.waiting = 2;
  report.pace = 2.5;
  return report;
}

void CheckSame(const EngineReport& one, const EngineReport& other) {
  CHECK(one.epoch == other.epoch);
  CHECK(one.is_open == other.is_open);
  CHECK(one.step == other.step);
  CHECK(one.map == other.map);
  CHECK(one.prepared == other.prepared);
  CHECK(one.armed == other.armed);
  CHECK(one.held == other.held);
  CHECK(one.running == other.running);
  CHECK(one.waiting == other.waiting);
  CHECK(one.pace == doctest::Approx(other.pace));
}

RankReading Reading(bool is_busy, bool has_growth) {
  RankReading reading;
  reading.report = is_busy ? BusyReport() : EngineReport();
  reading.mark = placement::ReadingMark(77);
  if (has_growth) {
    reading.growth = placement::CounterGrowth{4, 5, {0, 3, 1'000, 65'535}};
  }
  return reading;
}

TEST_CASE("a reading survives encoding and decoding") {
  for (const bool is_busy : {false, true}) {
    for (const bool has_growth : {false, true}) {
      CAPTURE(is_busy);
      CAPTURE(has_growth);
      const RankReading sent = Reading(is_busy, has_growth);
      const auto got = DecodeReading(Encode(sent));
      REQUIRE(got.has_value());
      CheckSame(got->report, sent.report);
      CHECK(got->mark == sent.mark);
      REQUIRE(got->growth.has_value() == has_growth);
      if (has_growth) {
        CHECK(got->growth->steps == 4);
        CHECK(got->growth->requests == 5);
        CHECK(got->growth->picks == sent.growth->picks);
      }
    }
  }
}

TEST_CASE("large counts keep their proportions") {
  RankReading sent = Reading(false, true);
  sent.growth->picks = {4'000'000'000, 2'000'000'000, 0};
  const auto got = DecodeReading(Encode(sent));
  REQUIRE((got.has_value() && got->growth.has_value()));
  CHECK(got->growth->picks[0] == doctest::Approx(4e9).epsilon(1e-4));
  CHECK(got->growth->picks[1] == doctest::Approx(2e9).epsilon(1e-4));
  CHECK(got->growth->picks[2] == 0);
}

TEST_CASE("a round request and its response survive encoding and decoding") {
  const RoundRequest question{GroupId("g"),
                              placement::ReadingMark(9),
                              0.02,
                              3'840,
                              {{RankIndex(4), "10.0.0.4:80"}}};
  const auto asked = DecodeRoundRequest(Encode(question));
  REQUIRE(asked.has_value());
  CHECK(asked->group == question.group);
  CHECK(asked->mark == question.mark);
  CHECK(asked->read_work == doctest::Approx(0.02));
  CHECK(asked->counters == 3'840);
  REQUIRE(asked->ranks.size() == 1);
  CHECK(asked->ranks[0].rank == RankIndex(4));
  CHECK(asked->ranks[0].engine == "10.0.0.4:80");

  RoundResponse answer;
  answer.domain = FailureDomain("sahab");
  answer.mark = placement::ReadingMark(10);
  answer.results.push_back({RankIndex(4), Milliseconds(12), BusyReport()});
  answer.work = {0.0, 0.125, 17.5, 40'000.0};
  const auto got = DecodeRoundResponse(Encode(answer));
  REQUIRE(got.has_value());
  CHECK(got->domain == answer.domain);
  CHECK(got->mark == answer.mark);
  REQUIRE(got->results.size() == 1);
  CHECK(got->results[0].rank == RankIndex(4));
  CHECK(got->results[0].poll_delay == Milliseconds(12));
  CheckSame(got->results[0].report, BusyReport());
  REQUIRE(got->work.size() == answer.work.size());
  for (std::size_t i = 0; i < answer.work.size(); ++i) {
    // Values are stored as 16-bit fractions of the largest one.
    CHECK(std::abs(got->work[i] - answer.work[i]) <= 40'000.0 / 65'535.0);
  }
}

TEST_CASE("a multicast order and its result survive encoding and decoding") {
  const MulticastOrder order{{{RankIndex(4), "10.0.0.4:80"}},
                             Milliseconds(25),
                             "POST",
                             "/order",
                             "application/json",
                             packing::Pack("{}"),
                             true,
                             Milliseconds(2)};
  const auto got = DecodeMulticastOrder(Encode(order));
  REQUIRE(got.has_value());
  REQUIRE(got->ranks.size() == 1);
  CHECK(got->ranks[0].rank == RankIndex(4));
  CHECK(got->ranks[0].engine == "10.0.0.4:80");
  CHECK(got->timeout == order.timeout);
  CHECK(got->method == order.method);
  CHECK(got->target == order.target);
  CHECK(got->content_type == order.content_type);
  CHECK(got->body == order.body);
  CHECK(got->is_guarded == order.is_guarded);
  CHECK(got->repeat_after == order.repeat_after);
  const auto answer =
      DecodeMulticastResult(Encode(MulticastResult{{202, 0, 409}}));
  REQUIRE(answer.has_value());
  CHECK(answer->statuses == std::vector<std::uint32_t>{202, 0, 409});
  CHECK_FALSE(DecodeMulticastOrder("x").has_value());
  CHECK_FALSE(DecodeMulticastResult("").has_value());
}

TEST_CASE("truncated or overlong bytes are rejected") {
  const std::string reading = Encode(Reading(true, true));
  for (std::size_t length = 0; length < reading.size(); ++length) {
    CAPTURE(length);
    CHECK_FALSE(DecodeReading(reading.substr(0, length)).has_value());
  }
  CHECK_FALSE(DecodeReading(reading + "x").has_value());
  CHECK_FALSE(DecodeRoundResponse("").has_value());
  CHECK_FALSE(DecodeRoundRequest("no such engine").has_value());
}

}  // namespace
}  // namespace bilberryspool::groups
