#include <doctest/doctest.h>

#include <string>

#include "libs/group_loads/group_load_codec.h"
#include "libs/group_loads/group_load_publisher.h"

namespace bilberryspool::group_loads {
namespace {

constexpr TimePoint kStart = TimeAt(Seconds(50));

std::vector<GroupLoad> Loads(std::uint32_t used, bool is_open = true) {
  return {{GroupId("g"), ServiceId("model"), is_open, 100, {used}}};
}

// Guards against a leader that spends its processor time on the loads.
TEST_CASE(
    "loads are sent at once while room is scarce, seldom to many gateways") {
  struct Row {
    std::string name;
    std::size_t gateways;
    std::uint32_t used;
    std::size_t at_least;
    std::size_t at_most;
  };
  for (const Row& row :
       {Row{"few", 7, 90, 60, 67}, Row{"forty", 40, 90, 28, 51},
        Row{"many", 149, 90, 11, 14}, Row{"with slack", 40, 10, 0, 1}}) {
    CAPTURE(row.name);
    GroupLoadPublisher publisher{GroupLoadPublisherOptions{}};
    publisher.SetReaders(row.gateways);
    std::size_t sent = 0;
    for (int ms = 0; ms < 10'000; ms += 10) {
      sent += publisher.Offer(Loads(row.used), kStart + Milliseconds(ms));
    }
    CHECK(sent >= row.at_least);
    CHECK(sent <= row.at_most);
    CHECK(publisher.revision() >= 60);
  }
}

TEST_CASE("a group that breaks, and the loss of the lead, are sent at once") {
  GroupLoadPublisher publisher{GroupLoadPublisherOptions{}};
  publisher.SetReaders(149);
  CHECK_FALSE(publisher.Offer({}, kStart));
  CHECK(publisher.Offer(Loads(90), kStart));
  CHECK_FALSE(publisher.Offer(Loads(95), kStart + Milliseconds(200)));
  CHECK(publisher.revision() == 2);
  CHECK(publisher.urgent_revision() == 1);
  CHECK(publisher.Offer(Loads(95, false), kStart + Milliseconds(400)));
  CHECK(publisher.Offer({}, kStart + Milliseconds(600)));
  CHECK(publisher.published().empty());
  CHECK_FALSE(publisher.Offer({}, kStart + Seconds(9)));
}

TEST_CASE("loads are encoded and decoded") {
  const std::vector<GroupLoad> loads = {
      {GroupId("g1"), ServiceId("model"), true, 200, {0, 9, 10, 35, 99}},
      {GroupId("g2"), ServiceId("model"), false, 0, {}}};
  auto read = LoadsFromJson(ToJson(loads));
  REQUIRE(read.has_value());
  REQUIRE(read->size() == 2);
  CHECK(read->front().by_rank ==
        std::vector<std::uint32_t>{0, 9, 10, 35, kMaxWrittenRankLoad});
  CHECK(read->back() == loads.back());
  CHECK_FALSE(LoadsFromJson(boost::json::object{}).has_value());
  boost::json::value broken = ToJson(loads);
  broken.as_array()[0].as_object()["ranks"] = "A";
  CHECK_FALSE(LoadsFromJson(broken).has_value());
}

}  // namespace
}  // namespace bilberryspool::group_loads
