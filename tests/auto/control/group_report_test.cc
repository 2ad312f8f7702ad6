#include "plugins/control/group_report.h"

#include <doctest/doctest.h>

#include "libs/groups/expert_counts.h"
#include "libs/groups/group_contacts.h"

namespace bilberryspool {
namespace {

using Json = boost::json::value;

// Checks that `read` rejects `good` with any one field removed or of another
// type.
template <typename Read>
void CheckBadInput(const Json& good, const Read& read) {
  CHECK_FALSE(read(Json(7)).has_value());
  for (const auto& field : good.as_object()) {
    const std::string name(field.key());
    CAPTURE(name);
    Json bad = good;
    bad.as_object()[name] = boost::json::object();
    CHECK_FALSE(read(bad).has_value());
    bad.as_object().erase(name);
    CHECK_FALSE(read(bad).has_value());
  }
}

TEST_CASE(
    "messages about a group round-trip through JSON, and bad ones are "
    "rejected") {
  control::GroupReport report;
  report.group = GroupId("g");
  report.token = FencingToken(3);
  report.map = MapVersion(7);
  report.state = "serving";
  report.why = "steps run";
  report.ranks = {RankIndex(0), RankIndex(2)};
  report.pending_fetches = 4;
  report.decision = "2 moves";
  CHECK(control::GroupReportFromJson(control::ToJson(report)) == report);
  CheckBadInput(control::ToJson(report), control::GroupReportFromJson);

  groups::GroupContacts contacts;
  contacts.group = GroupId("g");
  contacts.token = FencingToken(3);
  contacts.controller = "127.0.0.1:1";
  contacts.ranks = {{RankIndex(1), "127.0.0.1:2"}};
  CHECK(groups::GroupContactsFromJson(groups::ToJson(contacts)) == contacts);
  CheckBadInput(groups::ToJson(contacts), groups::GroupContactsFromJson);

  groups::ExpertCounts counts;
  counts.group = GroupId("g");
  counts.rank = RankIndex(2);
  counts.incarnation = Incarnation(9);
  counts.number = 5;
  counts.window = Milliseconds(1500);
  counts.layers = 1;
  counts.experts = 2;
  counts.tokens = {10, 0};
  CHECK(groups::ExpertCountsFromJson(groups::ToJson(counts)) == counts);
  CheckBadInput(groups::ToJson(counts), groups::ExpertCountsFromJson);
  counts.tokens.pop_back();
  CHECK_FALSE(groups::ExpertCountsFromJson(groups::ToJson(counts)).has_value());
}

}  // namespace
}  // namespace bilberryspool
