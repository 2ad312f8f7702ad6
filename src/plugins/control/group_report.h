// Report on a group that its controller sends to all entries.

#ifndef PLUGINS_CONTROL_GROUP_REPORT_H_
#define PLUGINS_CONTROL_GROUP_REPORT_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::control {

struct GroupReport {
  GroupId group;
  FencingToken token;  // of the controller's lease; a higher one is newer
  MapVersion map;      // in use at all members of the view
  std::string state;   // "serving", "changing", "stalled" or "out"
  std::string why;     // human-readable reason of the state
  std::vector<RankIndex> ranks;  // members of the view
  std::uint64_t pending_fetches = 0;
  // The last decision on placement and its reason; empty before the first.
  std::string decision;

  bool operator==(const GroupReport&) const = default;
};

// A report and when this entry received it.
struct ReceivedGroupReport {
  GroupReport report;
  TimePoint received_at;
};

boost::json::value ToJson(const GroupReport& report);
// Returns nothing for invalid input.
std::optional<GroupReport> GroupReportFromJson(const boost::json::value& json);

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_GROUP_REPORT_H_
