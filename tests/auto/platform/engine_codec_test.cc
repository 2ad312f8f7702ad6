#include <doctest/doctest.h>

#include <memory>

#include "platform/engine_codec.h"

namespace bilberryspool::platform {
namespace {

const sidecar::EngineProtocol kProtocol = MakeEngineProtocol();

TEST_CASE("a complete report is parsed") {
  const auto report = kProtocol.read_report(
      R"({"group":{"name":"g","epoch":2,"rank":0,"state":"open"},"size":16,
          "waiting":1,"running":12,"pace":1.5,"step":812,"map":3,"prepared":4,
          "armed":{"version":4,"step":900},"held":900})");
  REQUIRE(report.has_value());
  CHECK(report->epoch == groups::GroupEpoch(2));
  CHECK(report->is_open);
  CHECK(report->step == groups::StepNumber(812));
  CHECK(report->map == MapVersion(3));
  CHECK(report->prepared == MapVersion(4));
  REQUIRE(report->armed.has_value());
  CHECK(*report->armed ==
        groups::ArmedMap{MapVersion(4), groups::StepNumber(900)});
  CHECK(report->held == groups::StepNumber(900));
  CHECK(report->running == 12);
  CHECK(report->waiting == 1);
  CHECK(report->pace == doctest::Approx(1.5));
}

TEST_CASE("a report without a prepared or armed map or a held step is parsed") {
  const auto report = kProtocol.read_report(
      R"({"group":{"epoch":1,"state":"broken"},"step":0,"map":0,
          "prepared":null,"armed":null,"held":null})");
  REQUIRE(report.has_value());
  CHECK_FALSE(report->is_open);
  CHECK_FALSE(report->prepared.has_value());
  CHECK_FALSE(report->armed.has_value());
  CHECK_FALSE(report->held.has_value());
}

TEST_CASE("invalid input is rejected") {
  const char* const rows[] = {"",
                              "{",
                              "[]",
                              "{}",
                              R"({"group":3})",
                              R"({"group":{"epoch":1},"step":"x","map":0})"};
  for (const char* row : rows) {
    CAPTURE(row);
    CHECK_FALSE(kProtocol.read_report(row).has_value());
    CHECK_FALSE(kProtocol.read_picks(row).has_value());
    CHECK_FALSE(kProtocol.read_experts(row).has_value());
  }
  CHECK_FALSE(kProtocol.read_picks(R"({"step":1,"epoch":1,"counts":[1,"x"]})")
                  .has_value());
}

TEST_CASE("picks and experts are parsed") {
  const auto picks =
      kProtocol.read_picks(R"({"step":9,"epoch":1,"counts":[5120,88,940]})");
  REQUIRE(picks.has_value());
  CHECK(picks->counts == std::vector<std::uint64_t>{5120, 88, 940});
  const auto experts = kProtocol.read_experts(
      R"({"epoch":1,"map":{"version":3,"experts":[[0,2],[1]]},
          "prepared":null})");
  REQUIRE(experts.has_value());
  CHECK(experts->version == MapVersion(3));
  REQUIRE(experts->experts.size() == 2);
  CHECK(experts->experts[0] ==
        std::vector<ExpertIndex>{ExpertIndex(0), ExpertIndex(2)});
}

TEST_CASE("orders are encoded") {
  auto map = std::make_shared<placement::ExpertMap>(1, 2);
  map->Add({placement::LayerIndex(0), ExpertIndex(0)}, RankIndex(1));
  map->Add({placement::LayerIndex(0), ExpertIndex(1)}, RankIndex(0));
  struct Row {
    groups::EngineOrder order;
    const char* body;
  };
  const Row rows[] = {
      {groups::PrepareMap{MapVersion(4), map},
       R"({"epoch":1,"op":"prepare","version":4,"map":[[[1],[0]]]})"},
      {groups::ArmMap{MapVersion(4), groups::StepNumber(9)},
       R"({"epoch":1,"op":"arm","version":4,"step":9})"},
      {groups::DisarmMap{MapVersion(4)},
       R"({"epoch":1,"op":"disarm","version":4})"},
      {groups::HoldStep{groups::StepNumber(9)},
       R"({"epoch":1,"op":"hold","step":9})"},
      {groups::ReleaseStep{groups::StepNumber(9)},
       R"({"epoch":1,"op":"go","step":9})"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.body);
    const net::HttpRequest request = kProtocol.order_request(
        {RankIndex(0), groups::GroupEpoch(1), row.order}, 2);
    CHECK(request.method == "POST");
    CHECK(request.target == "/order");
    CHECK(request.body == row.body);
  }
}

TEST_CASE("only a definite status decides the outcome of an order") {
  CHECK(kProtocol.read_answer(200) == groups::OrderAnswer::kDone);
  CHECK(kProtocol.read_answer(202) == groups::OrderAnswer::kBegun);
  CHECK(kProtocol.read_answer(409) == groups::OrderAnswer::kRefused);
  CHECK(kProtocol.read_answer(412) == groups::OrderAnswer::kRefused);
  CHECK(kProtocol.read_answer(500) == groups::OrderAnswer::kUnanswered);
  CHECK(kProtocol.read_answer(502) == groups::OrderAnswer::kUnanswered);
}

}  // namespace
}  // namespace bilberryspool::platform
