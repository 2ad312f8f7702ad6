#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libs/declared_limits/limit_book.h"

namespace bilberryspool::declared_limits {
namespace {

const TimePoint kNow = TimePoint{} + Seconds(1000);

std::vector<std::string> Gateways(int count) {
  std::vector<std::string> names;
  names.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    names.push_back("g" + std::to_string(i));
  }
  return names;
}

LimitStatement Says(std::optional<double> per_second,
                    Duration age = Duration::zero(),
                    std::uint64_t incarnation = 1) {
  return {{TargetId("t"), Incarnation(incarnation)}, per_second, age};
}

// What all gateways together may send, and how many of them may.
std::pair<double, int> SumOf(const LimitBook& book, int gateways) {
  double sum = 0.0;
  int holders = 0;
  for (const std::string& name : Gateways(gateways)) {
    for (const LimitShare& share : book.SharesOf(name)) {
      sum += share.share;
      holders += share.share > 0.0 ? 1 : 0;
    }
  }
  return {sum, holders};
}

TEST_CASE("the shares of all gateways add up to the limit, among few") {
  struct Case {
    int gateways;
    double limit;
    int holders;
  };
  for (const Case& one : std::vector<Case>{{7, 0.5, 3},
                                           {7, 1.0, 4},
                                           {7, 50.0, 7},
                                           {40, 1.0, 4},
                                           {149, 5.0, 8},
                                           {149, 50.0, 53},
                                           {1, 0.5, 1}}) {
    CAPTURE(one.gateways);
    CAPTURE(one.limit);
    LimitBook book{LimitBookOptions{}};
    book.SetGateways(Gateways(one.gateways));
    CHECK(book.Note(Says(one.limit), kNow));
    const auto [sum, holders] = SumOf(book, one.gateways);
    CHECK(sum == doctest::Approx(one.limit));
    CHECK(holders == one.holders);
  }
}

// Guards against a target that is never heard again: only answers tell that it
// takes more.
TEST_CASE("a limit of nothing leaves a request now and then") {
  LimitBook book{LimitBookOptions{}};
  book.SetGateways(Gateways(7));
  book.Note(Says(0.0), kNow);
  CHECK(SumOf(book, 7).first == doctest::Approx(0.25));
}

TEST_CASE("the newest statement counts, whoever brings it") {
  LimitBook book{LimitBookOptions{}};
  book.SetGateways(Gateways(7));
  CHECK(book.Note(Says(2.0), kNow));
  CHECK_FALSE(book.Note(Says(9.0, Seconds(2)), kNow + Seconds(1)));
  CHECK(book.Note(Says(3.0), kNow + Seconds(1)));
  CHECK(SumOf(book, 7).first == doctest::Approx(3.0));
  CHECK(book.Note(Says(std::nullopt), kNow + Seconds(2)));
  CHECK(book.size() == 0);
  CHECK(book.SharesOf("g0").empty());
  // One that was on its way does not bring it back.
  CHECK_FALSE(book.Note(Says(3.0, Seconds(2)), kNow + Seconds(3)));
}

TEST_CASE("a restarted target has said nothing yet") {
  LimitBook book{LimitBookOptions{}};
  book.SetGateways(Gateways(7));
  book.Note(Says(2.0), kNow);
  CHECK(book.Note(Says(std::nullopt, Milliseconds(1), 2), kNow));
  CHECK(book.size() == 0);
}

TEST_CASE("a limit is divided anew where gateways come or go") {
  LimitBook book{LimitBookOptions{}};
  book.SetGateways(Gateways(7));
  book.Note(Says(1.0), kNow);
  const std::uint64_t before = book.revision();
  book.SetGateways(Gateways(7));
  CHECK(book.revision() == before);
  book.SetGateways(Gateways(2));
  CHECK(book.revision() > before);
  CHECK(SumOf(book, 2).first == doctest::Approx(1.0));
}

TEST_CASE("the book stays within its bounds") {
  LimitBookOptions options;
  options.max_entries = 10;
  LimitBook book(options);
  book.SetGateways(Gateways(2));
  for (int i = 0; i < 100; ++i) {
    LimitStatement statement = Says(1.0);
    statement.run.target = TargetId("t" + std::to_string(i));
    book.Note(statement, kNow + Milliseconds(i));
  }
  CHECK(book.size() == 10);
  book.Tick(kNow + Seconds(601));
  CHECK(book.size() == 0);
}

}  // namespace
}  // namespace bilberryspool::declared_limits
