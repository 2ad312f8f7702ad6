#include <doctest/doctest.h>

#include <string>
#include <utility>
#include <vector>

#include "libs/base/random.h"
#include "libs/net/endpoint.h"
#include "platform/announcement_codec.h"

namespace bilberryspool::platform {
namespace {

TEST_CASE("a complete announcement is parsed") {
  const auto announcement = ReadAnnouncement(
      TargetId("i-1"),
      R"({"service":"s","address":"10.0.0.9:8080","zone":"z","version":"v1",
          "slots":12,"state":"draining","cold_remaining_ms":0,"sequence":4,
          "group":{"name":"g0","epoch":2,"rank":3,"state":"open"},"size":16})");
  REQUIRE(announcement.has_value());
  CHECK(announcement->target == TargetId("i-1"));
  CHECK(announcement->service == ServiceId("s"));
  CHECK(announcement->address == "10.0.0.9:8080");
  CHECK(announcement->domain == FailureDomain("z"));
  CHECK(announcement->slots == 12);
  CHECK(announcement->standing == traffic::Standing::kLeaving);
  CHECK(announcement->sequence == 4);
  REQUIRE(announcement->group.has_value());
  CHECK(*announcement->group ==
        traffic::GroupMembership{GroupId("g0"), 2, 3, 16, true});
}

// Returns a complete announcement with one member replaced; an empty value
// leaves the member out.
std::string With(const std::string& key, const std::string& value) {
  std::vector<std::pair<std::string, std::string>> members = {
      {"service", R"("s")"},
      {"address", R"("10.0.0.9:8080")"},
      {"zone", R"("z")"},
      {"slots", "12"},
      {"state", R"("ready")"},
      {"sequence", "4"},
      {"born", "1786837060000"},
      {"group", R"({"name":"g0","epoch":2,"rank":3,"state":"open"})"},
      {"size", "16"}};
  std::string body;
  for (const auto& [name, known] : members) {
    const std::string& chosen = name == key ? value : known;
    if (!chosen.empty()) {
      body += (body.empty() ? "{" : ",") + ("\"" + name + "\":") + chosen;
    }
  }
  return body + "}";
}

// Guards against a gateway that sends requests to a target that is unreachable
// or not ready. An announcement of another writer was accepted as far as it
// could be read, and an unknown state counted as ready.
TEST_CASE("an announcement that can't be used names no target") {
  struct Row {
    std::string key;
    std::string value;
    bool is_usable;
  };
  const std::vector<Row> rows = {
      {"none", "", true},
      {"service", "", false},
      {"service", "1", false},
      {"address", "", false},
      {"address", R"("a")", false},
      {"address", "7", false},
      {"address", R"("10.0.0.9:99999")", false},
      {"zone", "", false},
      {"zone", "[]", false},
      {"slots", "", false},
      {"slots", "-1", false},
      {"slots", R"("12")", false},
      {"slots", "99999999999", false},
      {"state", "", false},
      {"state", R"("resting")", false},
      {"state", "3", false},
      {"state", R"("draining")", true},
      {"sequence", "", false},
      {"sequence", "1.5", false},
      {"sequence", "null", false},
      {"born", "", true},
      {"born", "1.5", false},
      {"born", "-4", false},
      {"born", R"("1786")", false},
      {"born", "null", false},
      {"group", "", true},
      {"group", "null", true},
      {"group", "[]", false},
      {"group", R"({"name":"g0"})", false},
      {"size", "", false},
      {"size", "3", false},
      {"size", R"("16")", false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.key);
    CAPTURE(row.value);
    const std::string body = With(row.key, row.value);
    CHECK(ReadAnnouncement(TargetId("i"), body).has_value() == row.is_usable);
  }
  for (const char* body : {"", "{", "[]", "{}", "null", "\x80\xff"}) {
    CAPTURE(body);
    CHECK_FALSE(ReadAnnouncement(TargetId("i"), body).has_value());
  }
}

TEST_CASE(
    "the incarnation is parsed from the body of any request of a target") {
  CHECK(ReadAnnouncement(TargetId("i"), With("", ""))->incarnation ==
        Incarnation(1786837060000));
  CHECK(ReadIncarnation(R"({"born":17})") == Incarnation(17));
  CHECK(ReadIncarnation(R"({"born":"17"})") == Incarnation());
  CHECK(ReadIncarnation("") == Incarnation());
}

// Random bytes of a complete announcement are replaced, removed or duplicated.
TEST_CASE("a damaged announcement is rejected or parsed to a usable one") {
  constexpr int kMutations = 5'000;
  Random random(11);
  for (int i = 0; i < kMutations; ++i) {
    std::string body = With("", "");
    for (std::uint64_t n = 1 + random.Below(4); n > 0; --n) {
      const std::size_t at = random.Below(body.size());
      const auto byte = static_cast<char>(random.Below(256));
      switch (random.Below(3)) {
        case 0:
          body[at] = byte;
          break;
        case 1:
          body.erase(at, 1 + random.Below(8));
          break;
        default:
          body.insert(at, body.substr(at, 1 + random.Below(8)));
          break;
      }
      if (body.empty()) {
        body = "{";
      }
    }
    const auto announcement = ReadAnnouncement(TargetId("i"), body);
    if (!announcement.has_value()) {
      continue;
    }
    CAPTURE(body);
    CHECK(net::ParseEndpoint(announcement->address).has_value());
    CHECK(announcement->standing != traffic::Standing::kGone);
    CHECK((!announcement->group.has_value() ||
           announcement->group->rank < announcement->group->size));
  }
}

}  // namespace
}  // namespace bilberryspool::platform
