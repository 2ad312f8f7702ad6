#include "libs/spread/coverage.h"

namespace bilberryspool::spread {

void AddReport(const SpreadReport& report,
               ConfigVersion version,
               std::size_t max_lacking,
               Coverage* coverage) {
  coverage->nodes += report.nodes;
  if (report.version >= version) {
    coverage->in_force += report.in_force;
  }
  for (const NodeId& node : report.lacking) {
    if (coverage->lacking.size() < max_lacking) {
      coverage->lacking.push_back(node);
    }
  }
}

}  // namespace bilberryspool::spread
