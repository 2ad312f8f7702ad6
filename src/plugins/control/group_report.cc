#include "plugins/control/group_report.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include "libs/groups/json_reader.h"

namespace bilberryspool::control {

namespace json = boost::json;

json::value ToJson(const GroupReport& report) {
  json::array ranks;
  for (const RankIndex rank : report.ranks) {
    ranks.emplace_back(rank.value());
  }
  return json::object{{"group", report.group.value()},
                      {"token", report.token.value()},
                      {"map", report.map.value()},
                      {"state", report.state},
                      {"why", report.why},
                      {"ranks", std::move(ranks)},
                      {"pending_fetches", report.pending_fetches},
                      {"decision", report.decision}};
}

std::optional<GroupReport> GroupReportFromJson(const json::value& json) {
  groups::internal::JsonReader reader(json);
  GroupReport report;
  report.group = GroupId(reader.Text("group"));
  report.token = reader.NumberAs<FencingToken>("token");
  report.map = reader.NumberAs<MapVersion>("map");
  report.state = reader.Text("state");
  report.why = reader.Text("why");
  report.ranks = reader.Ranks("ranks");
  report.pending_fetches = reader.Number("pending_fetches");
  report.decision = reader.Text("decision");
  return reader.good() ? std::make_optional(report) : std::nullopt;
}

}  // namespace bilberryspool::control
