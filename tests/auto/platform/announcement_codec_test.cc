#include <doctest/doctest.h>

#include "platform/announcement_codec.h"

namespace bilberryspool::platform {
namespace {

TEST_CASE("an announcement is read") {
  const auto told = ReadAnnouncement(
      TargetId("i-1"),
      R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",
          "slots":12,"state":"draining","cold_remaining_ms":0,"sequence":4,
          "group":{"name":"g0","epoch":2,"rank":3,"state":"open"},"size":16})");
  REQUIRE(told.has_value());
  CHECK(told->target == TargetId("i-1"));
  CHECK(told->service == ServiceId("s"));
  CHECK(told->address == "10.0.0.9:8080");
  CHECK(told->domain == FailureDomain("z"));
  CHECK(told->slots == 12);
  CHECK(told->standing == traffic::Standing::kLeaving);
  CHECK(told->sequence == 4);
  REQUIRE(told->group.has_value());
  CHECK(*told->group ==
        traffic::GroupMembership{GroupId("g0"), 2, 3, 16, true});
}

TEST_CASE("an announcement that can't be used is refused") {
  const char* const rows[] = {"",
                              "{",
                              "[]",
                              "{}",
                              R"({"service":"s","state":"ready"})",
                              R"({"service":1,"address":"a","state":"ready"})",
                              R"({"service":"s","address":"a","state":3})"};
  for (const char* row : rows) {
    CAPTURE(row);
    CHECK_FALSE(ReadAnnouncement(TargetId("i"), row).has_value());
  }
}

}  // namespace
}  // namespace bilberryspool::platform
