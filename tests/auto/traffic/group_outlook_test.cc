#include "libs/traffic/group_outlook.h"

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
  TargetAnnouncement told;
  told.target = TargetId("i-" + std::to_string(rank));
  told.service = kService;
  told.address = "a:1";
  told.group = GroupMembership{GroupId(group), epoch, rank, 4, is_open};
  return told;
}

GroupOutlook OpenGroup() {
  GroupOutlook outlook(GroupOutlookOptions{});
  for (std::uint32_t rank = 0; rank < 4; ++rank) {
    outlook.Note(Rank(rank, 1, true), true, At(0));
  }
  return outlook;
}

TEST_CASE("a service without groups is open") {
  GroupOutlook outlook(GroupOutlookOptions{});
  TargetAnnouncement plain = Rank(0, 1, true);
  plain.group.reset();
  outlook.Note(plain, true, At(0));
  CHECK(outlook.OutlookOf(kService, At(1)) == Outlook::kOpen);
}

// Symptom: callers are refused, and told to come back seconds later, half a
// second before the group works again.
TEST_CASE("a lost rank breaks the group, its return announces the next epoch") {
  GroupOutlook outlook = OpenGroup();
  CHECK(outlook.OutlookOf(kService, At(1)) == Outlook::kOpen);
  outlook.Note(Rank(2, 1, false), false, At(1500));
  CHECK(outlook.OutlookOf(kService, At(1501)) == Outlook::kBroken);
  // Another rank's older word does not mend it.
  outlook.Note(Rank(1, 1, true), false, At(1502));
  CHECK(outlook.OutlookOf(kService, At(1503)) == Outlook::kBroken);
  outlook.Note(Rank(3, 1, false), true, At(4000));
  CHECK(outlook.OutlookOf(kService, At(4001)) == Outlook::kForming);
  CHECK(outlook.forms_until(kService) == At(4900));
  outlook.Note(Rank(0, 2, true), false, At(4600));
  CHECK(outlook.OutlookOf(kService, At(4601)) == Outlook::kOpen);
}

TEST_CASE("a group that does not form in time is broken again") {
  GroupOutlook outlook = OpenGroup();
  outlook.Note(Rank(2, 1, false), false, At(1500));
  outlook.NoteReturn(At(3000));
  CHECK(outlook.OutlookOf(kService, At(3100)) == Outlook::kForming);
  CHECK(outlook.OutlookOf(kService, At(4000)) == Outlook::kBroken);
}

TEST_CASE("the return of a part of the system says nothing of an open group") {
  GroupOutlook outlook = OpenGroup();
  outlook.NoteReturn(At(3000));
  CHECK(outlook.OutlookOf(kService, At(3100)) == Outlook::kOpen);
}

TEST_CASE("a rank that starts in an older epoch has returned") {
  GroupOutlook outlook = OpenGroup();
  outlook.Note(Rank(0, 2, false), false, At(1000));
  outlook.Note(Rank(3, 0, false), true, At(2000));
  CHECK(outlook.OutlookOf(kService, At(2001)) == Outlook::kForming);
}

TEST_CASE("what serves works, whatever was told") {
  GroupOutlook outlook = OpenGroup();
  outlook.Note(Rank(2, 1, false), false, At(1500));
  outlook.NoteServed(kService);
  CHECK(outlook.OutlookOf(kService, At(1600)) == Outlook::kOpen);
}

TEST_CASE("one open group of several is enough") {
  GroupOutlook outlook = OpenGroup();
  outlook.Note(Rank(0, 1, true, "h"), true, At(0));
  outlook.Note(Rank(2, 1, false), false, At(1500));
  CHECK(outlook.OutlookOf(kService, At(1600)) == Outlook::kOpen);
  outlook.Note(Rank(0, 1, false, "h"), false, At(1700));
  CHECK(outlook.OutlookOf(kService, At(1800)) == Outlook::kBroken);
}

}  // namespace
}  // namespace bilberryspool::traffic
