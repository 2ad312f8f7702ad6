#include "libs/traffic/group_availability.h"

#include <doctest/doctest.h>

namespace bilberryspool::traffic {
namespace {

const ServiceId kService("model");

TimePoint At(std::int64_t ms) {
  return TimeAt(Seconds(100) + Milliseconds(ms));
}

TargetAnnouncement Rank(std::uint32_t rank,
                        std::uint64_t epoch,
                        bool is_open,
                        const std::string& group = "g") {
  TargetAnnouncement announcement;
  announcement.target = TargetId("i-" + std::to_string(rank));
  announcement.service = kService;
  announcement.address = "a:1";
  announcement.group = GroupMembership{GroupId(group), epoch, rank, 4, is_open};
  return announcement;
}

GroupAvailability OpenGroup() {
  GroupAvailability availability(GroupAvailabilityOptions{});
  for (std::uint32_t rank = 0; rank < 4; ++rank) {
    availability.OnAnnouncement(Rank(rank, 1, true), true, At(0));
  }
  return availability;
}

TEST_CASE("a service without groups is open") {
  GroupAvailability availability(GroupAvailabilityOptions{});
  TargetAnnouncement plain = Rank(0, 1, true);
  plain.group.reset();
  availability.OnAnnouncement(plain, true, At(0));
  CHECK(availability.AvailabilityOf(kService, At(1)) == Availability::kOpen);
}

// Guards against callers being refused and told to retry seconds later when the
// group is available again in half a second.
TEST_CASE("a lost rank breaks the group, its return starts the formation") {
  GroupAvailability availability = OpenGroup();
  CHECK(availability.AvailabilityOf(kService, At(1)) == Availability::kOpen);
  availability.OnAnnouncement(Rank(2, 1, false), false, At(1500));
  CHECK(availability.AvailabilityOf(kService, At(1501)) ==
        Availability::kBroken);
  // An older update of another rank does not open the group.
  availability.OnAnnouncement(Rank(1, 1, true), false, At(1502));
  CHECK(availability.AvailabilityOf(kService, At(1503)) ==
        Availability::kBroken);
  availability.OnAnnouncement(Rank(3, 1, false), true, At(4000));
  CHECK(availability.AvailabilityOf(kService, At(4001)) ==
        Availability::kForming);
  CHECK(availability.forming_until(kService) == At(4900));
  availability.OnAnnouncement(Rank(0, 2, true), false, At(4600));
  CHECK(availability.AvailabilityOf(kService, At(4601)) == Availability::kOpen);
}

TEST_CASE("a group that does not form in time is broken again") {
  GroupAvailability availability = OpenGroup();
  availability.OnAnnouncement(Rank(2, 1, false), false, At(1500));
  availability.OnReconnected(At(3000));
  CHECK(availability.AvailabilityOf(kService, At(3100)) ==
        Availability::kForming);
  CHECK(availability.AvailabilityOf(kService, At(4000)) ==
        Availability::kBroken);
}

TEST_CASE("an open group stays open after a reconnection") {
  GroupAvailability availability = OpenGroup();
  availability.OnReconnected(At(3000));
  CHECK(availability.AvailabilityOf(kService, At(3100)) == Availability::kOpen);
}

TEST_CASE("a rank that starts in an older epoch counts as returned") {
  GroupAvailability availability = OpenGroup();
  availability.OnAnnouncement(Rank(0, 2, false), false, At(1000));
  availability.OnAnnouncement(Rank(3, 0, false), true, At(2000));
  CHECK(availability.AvailabilityOf(kService, At(2001)) ==
        Availability::kForming);
}

TEST_CASE("a group that served a request is open, whatever was reported") {
  GroupAvailability availability = OpenGroup();
  availability.OnAnnouncement(Rank(2, 1, false), false, At(1500));
  availability.OnServed(kService);
  CHECK(availability.AvailabilityOf(kService, At(1600)) == Availability::kOpen);
}

TEST_CASE("a service is open while one of its groups is") {
  GroupAvailability availability = OpenGroup();
  availability.OnAnnouncement(Rank(0, 1, true, "h"), true, At(0));
  availability.OnAnnouncement(Rank(2, 1, false), false, At(1500));
  CHECK(availability.AvailabilityOf(kService, At(1600)) == Availability::kOpen);
  availability.OnAnnouncement(Rank(0, 1, false, "h"), false, At(1700));
  CHECK(availability.AvailabilityOf(kService, At(1800)) ==
        Availability::kBroken);
}

}  // namespace
}  // namespace bilberryspool::traffic
