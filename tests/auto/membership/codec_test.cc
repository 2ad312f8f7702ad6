#include <doctest/doctest.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "auto/membership/fake_fleet.h"
#include "libs/membership/membership_codec.h"

namespace bilberryspool::membership {
namespace {

GossipDelta SampleDelta() {
  GossipDelta delta;
  delta.from = {NodeId("e"), FailureDomain("d"), "10.0.0.1:7", Incarnation(3)};
  Announcement announcement;
  announcement.target = TargetId("t");
  announcement.state = TargetState::kDraining;
  announcement.claim = Claim{Incarnation(1764700000), 77};
  announcement.services = {ServiceId("s")};
  const Stamp stamp{NodeId("e"), Incarnation(3), 12};
  delta.announcements.push_back({announcement, Milliseconds(40), stamp});
  HeartbeatUpdate update;
  update.target = TargetId("t");
  update.load = {3, 2, 0.25, Microseconds(34567), Milliseconds(120)};
  update.stamp = {NodeId("f"), Incarnation(4), 13};
  delta.heartbeats.push_back(update);
  delta.complete_up_to.push_back(stamp);
  return delta;
}

TEST_CASE("messages are unchanged after encoding and decoding") {
  const PeerMessage messages[] = {
      SampleDelta(), GossipDigest{SampleDelta().from, true, {}, {}},
      AnnouncementRequest{SampleDelta().from, {TargetId("t")}}};
  for (const PeerMessage& message : messages) {
    const std::string text = boost::json::serialize(ToJson(message));
    const auto back = PeerMessageFromJson(boost::json::parse(text));
    REQUIRE(back);
    CHECK(boost::json::serialize(ToJson(*back)) == text);
  }
  const auto back = PeerMessageFromJson(ToJson(PeerMessage(SampleDelta())));
  const auto& delta = std::get<GossipDelta>(*back);
  CHECK(delta.announcements[0].announcement ==
        SampleDelta().announcements[0].announcement);
  CHECK(delta.heartbeats[0].stamp.origin == NodeId("f"));
  CHECK(delta.heartbeats[0].load.step_time == Microseconds(34567));
}

TEST_CASE("malformed messages are rejected without a crash") {
  const char* rows[] = {"null",
                        "[]",
                        "[1,2]",
                        R"(["delta"])",
                        R"(["delta",[],[],[],[]])",
                        R"(["digest",[1]])",
                        R"(["request",[["e","d","a",-1],[]]])",
                        R"(["other",[]])"};
  for (const char* row : rows) {
    CAPTURE(row);
    CHECK_FALSE(PeerMessageFromJson(boost::json::parse(row)));
  }
  // A valid message in which one part at a time is replaced.
  const boost::json::value good = ToJson(PeerMessage(SampleDelta()));
  for (std::size_t i = 0; i < good.as_array().size(); ++i) {
    boost::json::value bad = good;
    bad.as_array()[i] = "x";
    CHECK_FALSE(PeerMessageFromJson(bad));
  }
  CHECK_FALSE(HeartbeatFromJson(boost::json::parse("[\"t\",[1]]")));
}

}  // namespace
}  // namespace bilberryspool::membership
