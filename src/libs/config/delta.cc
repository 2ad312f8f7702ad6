#include "libs/config/delta.h"

#include <set>
#include <string>

namespace bilberryspool::config {

std::optional<Delta> CombineDeltas(const std::vector<Delta>& steps) {
  if (steps.empty()) {
    return std::nullopt;
  }
  std::vector<ObjectUpdate> latest_first;
  ConfigVersion begin = steps.back().to;
  for (auto step = steps.rbegin(); step != steps.rend(); ++step) {
    if (step->to != begin) {
      return std::nullopt;
    }
    begin = step->from;
    latest_first.insert(latest_first.end(), step->updates.rbegin(),
                        step->updates.rend());
  }
  return Delta{begin, steps.back().to, LatestUpdatePerObject(latest_first),
               steps.back().digest};
}

std::vector<ObjectUpdate> LatestUpdatePerObject(
    const std::vector<ObjectUpdate>& latest_first) {
  std::vector<ObjectUpdate> latest;
  std::set<std::string> seen;
  for (const ObjectUpdate& update : latest_first) {
    if (seen.insert(ObjectName(update)).second) {
      latest.push_back(update);
    }
  }
  return latest;
}

}  // namespace bilberryspool::config
