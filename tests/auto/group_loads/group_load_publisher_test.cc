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

// Guards against a leader that spends its processor time on publications.
TEST_CASE("loads are published less often to many gateways and with slack") {
  struct Row {
    std::string name;
    std::size_t gateways;
    std::uint32_t used;
    std::uint64_t at_least;
    std::uint64_t at_most;
  };
  for (const Row& row :
       {Row{"few", 7, 90, 60, 67}, Row{"forty", 40, 90, 60, 67},
        Row{"many", 149, 90, 24, 27}, Row{"with slack", 40, 10, 19, 21}}) {
    CAPTURE(row.name);
    GroupLoadPublisher publisher{GroupLoadPublisherOptions{}};
    publisher.SetReaders(row.gateways);
    for (int ms = 0; ms < 10'000; ms += 10) {
      publisher.Offer(Loads(row.used), kStart + Milliseconds(ms));
    }
    CHECK(publisher.revision() >= row.at_least);
    CHECK(publisher.revision() <= row.at_most);
  }
}

TEST_CASE("a group that breaks, and the loss of the lead, are published soon") {
  GroupLoadPublisher publisher{GroupLoadPublisherOptions{}};
  publisher.SetReaders(149);
  CHECK_FALSE(publisher.Offer({}, kStart));
  CHECK(publisher.Offer(Loads(90), kStart));
  CHECK_FALSE(publisher.Offer(Loads(95), kStart + Milliseconds(200)));
  CHECK(publisher.Offer(Loads(95, false), kStart + Milliseconds(200)));
  CHECK(publisher.Offer({}, kStart + Milliseconds(400)));
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
