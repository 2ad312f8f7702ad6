#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <string>
#include <vector>

#include "libs/declared_limits/limit_codec.h"

namespace bilberryspool::declared_limits {
namespace {

TEST_CASE("a limit is a decimal number of zero or more") {
  struct Case {
    const char* text;
    std::optional<double> limit;
  };
  const std::vector<Case> cases = {{"1", 1.0},
                                   {"0.5", 0.5},
                                   {"0", 0.0},
                                   {"50.25", 50.25},
                                   {"", std::nullopt},
                                   {"x", std::nullopt},
                                   {"-1", std::nullopt},
                                   {"1 ", std::nullopt},
                                   {"nan", std::nullopt},
                                   {"inf", std::nullopt},
                                   {"1,5", std::nullopt}};
  for (const Case& one : cases) {
    CAPTURE(std::string(one.text));
    CHECK(ReadLimit(one.text) == one.limit);
  }
}

TEST_CASE("statements and shares survive a round trip through JSON") {
  const std::vector<LimitStatement> statements = {
      {{TargetId("t"), Incarnation(2)}, 0.5, Milliseconds(3)},
      {{TargetId("u"), Incarnation(0)}, std::nullopt, Milliseconds(4)}};
  const auto read = StatementsFromJson(ToJson(statements));
  REQUIRE(read.has_value());
  CHECK(boost::json::serialize(ToJson(*read)) ==
        boost::json::serialize(ToJson(statements)));
  const std::vector<LimitShare> shares = {
      {{TargetId("t"), Incarnation(2)}, 5.0, 0.7}};
  const auto read_shares = SharesFromJson(ToJson(shares));
  REQUIRE(read_shares.has_value());
  CHECK(boost::json::serialize(ToJson(*read_shares)) ==
        boost::json::serialize(ToJson(shares)));
}

TEST_CASE("malformed statements and shares are rejected") {
  for (const char* text : {"{}", "[1]", "[{}]", R"([{"target":"t"}])",
                           R"([{"target":"t","incarnation":1,"age_us":1,
                                "per_second":"x"}])"}) {
    CAPTURE(std::string(text));
    const boost::json::value json = boost::json::parse(text);
    CHECK_FALSE(StatementsFromJson(json).has_value());
    CHECK_FALSE(SharesFromJson(json).has_value());
  }
}

}  // namespace
}  // namespace bilberryspool::declared_limits
