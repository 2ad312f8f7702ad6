// Counts the gateways that share what is divided among all gateways of a
// deployment, from the queries that they send to a control node.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_TRAFFIC_GATEWAY_CENSUS_H_
#define LIBS_TRAFFIC_GATEWAY_CENSUS_H_

#include <cstdint>
#include <map>
#include <string>

#include "libs/base/time.h"

namespace bilberryspool::traffic {

class GatewayCensus {
 public:
  // `started_at`: start of the control node.
  explicit GatewayCensus(TimePoint started_at) : started_at_(started_at) {}

  void OnQuery(const std::string& gateway, TimePoint now);
  // Number of gateways, including those that were heard in the last minute and
  // may only be cut off. 0 if this node can't know it: it has just started, or
  // it does not lead and may be cut off itself. Too small a number would let
  // each gateway take more than its share.
  std::uint64_t CountSharers(bool is_leader, TimePoint now);

 private:
  TimePoint started_at_;
  std::map<std::string, TimePoint> last_query_at_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_GATEWAY_CENSUS_H_
