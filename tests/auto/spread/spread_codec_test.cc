#include "libs/spread/spread_codec.h"

#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace bilberryspool::spread {
namespace {

TEST_CASE("messages are decoded as they were encoded") {
  const SenderState sender{NodeId("n"),
                           FailureDomain("d"),
                           {ConfigVersion(3), ~0ULL},
                           ConfigVersion(4),
                           true,
                           Milliseconds(1500)};
  const DeltaMessage delta{
      sender, {{{}, {ConfigVersion(1), 9}, "{\"a\":\"\\u0000\"}"}}, true};
  const auto delta_back = DeltaMessageFromJson(
      boost::json::parse(boost::json::serialize(ToJson(delta))));
  REQUIRE(delta_back);
  CHECK(delta_back->steps[0].bytes == delta.steps[0].bytes);
  CHECK(delta_back->sender.have == sender.have);
  HaveMessage have{sender, true, false, {}, {}};
  have.entry_report.push_back({ConfigVersion(3), 5, 4, {NodeId("x")}});
  const auto have_back = HaveMessageFromJson(ToJson(have));
  REQUIRE(have_back);
  CHECK(have_back->entry_report == have.entry_report);
  CHECK(have_back->sender.age == sender.age);
  const auto full_back =
      FullMessageFromJson(ToJson(FullMessage{sender, sender.have, "s", true}));
  REQUIRE(full_back);
  CHECK(full_back->at == sender.have);
}

TEST_CASE("malformed messages are rejected without an exception") {
  for (const char* row : {"null", "[]", "[[],[],1]", "{\"a\":1}"}) {
    const boost::json::value value = boost::json::parse(row);
    CHECK_FALSE(DeltaMessageFromJson(value));
    CHECK_FALSE(FullMessageFromJson(value));
    CHECK_FALSE(HaveMessageFromJson(value));
  }
}

}  // namespace
}  // namespace bilberryspool::spread
