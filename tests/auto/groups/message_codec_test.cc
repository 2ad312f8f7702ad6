#include "libs/groups/message_codec.h"

#include <doctest/doctest.h>

#include <boost/json.hpp>
#include <string>

namespace bilberryspool::groups {
namespace {

namespace json = boost::json;

const OrderHeader kHeader{GroupId("g"), RankIndex(2), Incarnation(7),
                          FencingToken(9)};
const ViewId kView{FencingToken(9), 4};

PrepareOrder Prepare() {
  const View view{
      kView,
      MapVersion(3),
      {{RankIndex(0), Incarnation(1)}, {RankIndex(2), Incarnation(7)}}};
  return {kHeader, view,
          std::make_shared<const placement::ExpertMap>(
              placement::ExpertMap::RoundRobin(2, 3, 3, 2))};
}

TEST_CASE("orders survive a JSON round trip") {
  const Order orders[] = {
      ClaimOrder{kHeader},
      Prepare(),
      FetchOrder{kHeader, 5, {placement::LayerIndex(1), ExpertIndex(2)}},
      SealOrder{kHeader, kView},
      InstallOrder{kHeader, kView, StepId{kView, 8}},
      InstallOrder{kHeader, kView, std::nullopt}};
  for (const Order& order : orders) {
    const json::value text = json::parse(json::serialize(ToJson(order)));
    CAPTURE(text);
    const std::optional<Order> back = OrderFromJson(text);
    REQUIRE(back.has_value());
    CHECK(ToJson(*back) == ToJson(order));
  }
}

TEST_CASE("statuses, rank messages and records survive a JSON round trip") {
  RankStatus status;
  status.group = GroupId("g");
  status.installed = kView;
  status.promised = StepId{kView, 3};
  status.awaited = {RankIndex(1)};
  status.resident = {{placement::LayerIndex(1), ExpertIndex(2)}};
  const auto status_back = RankStatusFromJson(ToJson(status));
  REQUIRE(status_back.has_value());
  CHECK(ToJson(*status_back) == ToJson(status));
  const RankMessage messages[] = {
      StepReady{GroupId("g"), {}, {}, StepId{kView, 3}, MapVersion(3)},
      StepGo{GroupId("g"), {}, StepId{kView, 3}, MapVersion(3), 4}};
  for (const RankMessage& message : messages) {
    const auto back = RankMessageFromJson(ToJson(message));
    REQUIRE(back.has_value());
    CHECK(ToJson(*back) == ToJson(message));
  }
  const MapRecord record{MapVersion(4), *Prepare().map, *Prepare().map};
  const auto record_back = MapRecordFromJson(ToJson(record));
  REQUIRE(record_back.has_value());
  CHECK(record_back->in_force == record.in_force);
}

TEST_CASE("invalid input is refused without an exception") {
  const json::value good = ToJson(Order(Prepare()));
  for (const auto& field : good.as_object()) {
    CAPTURE(std::string(field.key()));
    json::value broken = good;
    broken.as_object()[field.key()] = -1;
    CHECK_FALSE(OrderFromJson(broken).has_value());
    broken.as_object().erase(field.key());
    CHECK_FALSE(OrderFromJson(broken).has_value());
  }
  const char* texts[] = {
      "null",
      "[]",
      "{}",
      R"({"kind":"dance"})",
      R"({"layers":4000000000,"experts":4000000000,"holders":[]})",
      R"({"layers":1,"experts":1,"holders":[[4294967296]]})"};
  for (const char* text : texts) {
    CAPTURE(text);
    const json::value value = json::parse(text);
    CHECK_FALSE(OrderFromJson(value).has_value());
    CHECK_FALSE(RankStatusFromJson(value).has_value());
    CHECK_FALSE(RankMessageFromJson(value).has_value());
    CHECK_FALSE(MapRecordFromJson(value).has_value());
    CHECK_FALSE(ExpertMapFromJson(value).has_value());
  }
}

// An order with an empty or unsorted member list arrives. Guards against a rank
// that runs steps as the leader of a group without members because the first
// member is taken as the step leader without a check.
TEST_CASE("views without members or with members out of order are refused") {
  for (const char* members : {"[]", "[2,1,0,1]", "[0,1,0,2]", "[0,1,2]"}) {
    CAPTURE(members);
    json::value order = ToJson(Order(Prepare()));
    order.as_object()["view"].as_object()["members"] = json::parse(members);
    CHECK_FALSE(OrderFromJson(order).has_value());
  }
}

}  // namespace
}  // namespace bilberryspool::groups
