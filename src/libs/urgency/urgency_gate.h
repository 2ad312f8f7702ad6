// Lets the more urgent requests of a service pass first when its room is
// scarce.
//
// All gateways hear of the same load at about the same time and decide alike,
// so together they let pass what fits. The least urgent requests are thinned
// out first, and entirely only down to a minimum share, before the next more
// urgent ones are affected. The most urgent ones always pass.
//
// Pure: the load in, decisions out.

#ifndef LIBS_URGENCY_URGENCY_GATE_H_
#define LIBS_URGENCY_URGENCY_GATE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>

#include "libs/base/ids.h"

namespace bilberryspool::urgency {

struct UrgencyGateOptions {
  // Part of the room that is used before the least urgent requests are thinned
  // out. The rest takes what arrives before the load is reported again.
  double thin_from = 0.8;
  // Each class is thinned out over this part of the room, from the least urgent
  // on. A narrower band lets loads swing, as they are reported with a delay.
  double band = 0.25;
  // Share of its requests that a class always gets through, so that its callers
  // are not starved by a long overload.
  double min_share = 0.25;
};

class UrgencyGate {
 public:
  explicit UrgencyGate(UrgencyGateOptions options) : options_(options) {}

  // Whether a request of `service` of the class `rank` (0: most urgent) out of
  // `ranks` may pass. `load` is the part of the room in use; all pass if it is
  // not known.
  bool MayPass(const ServiceId& service,
               std::uint32_t rank,
               std::size_t ranks,
               std::optional<double> load);

  // Share of the requests that may pass.
  double ShareOf(std::uint32_t rank, std::size_t ranks, double load) const;

 private:
  UrgencyGateOptions options_;
  // Fraction of a request that may pass in addition, by service and rank.
  std::map<std::pair<ServiceId, std::uint32_t>, double> credits_;
};

}  // namespace bilberryspool::urgency

#endif  // LIBS_URGENCY_URGENCY_GATE_H_
