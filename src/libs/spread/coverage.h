#ifndef LIBS_SPREAD_COVERAGE_H_
#define LIBS_SPREAD_COVERAGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "libs/base/time.h"
#include "libs/spread/spread_message.h"

namespace bilberryspool::spread {

// On how many of the known nodes a configuration version is in force.
struct Coverage {
  std::uint32_t nodes = 0;
  std::uint32_t in_force = 0;
  std::vector<NodeId> lacking;  // some of the nodes that do not have it
  // Failure domains without a recent report.
  std::vector<FailureDomain> silent_domains;

  bool complete() const { return in_force == nodes && silent_domains.empty(); }
};

// The latest report of each reporting node or failure domain.
template <typename Key>
class ReportTable {
 public:
  struct Row {
    SpreadReport report;
    TimePoint at;
  };

  void Update(const Key& key, const SpreadReport& report, TimePoint now) {
    rows_[key] = Row{report, now};
  }
  void RemoveOlderThan(TimePoint now, Duration max_age) {
    std::erase_if(rows_, [&](const auto& item) {
      return now - item.second.at > max_age;
    });
  }
  const std::map<Key, Row>& rows() const { return rows_; }

 private:
  std::map<Key, Row> rows_;
};

// Adds the nodes of `report` that have `version` to `coverage`. A report of a
// later version covers the earlier one too; a report of an earlier version
// means that none of its nodes is known to have `version`.
void AddReport(const SpreadReport& report,
               ConfigVersion version,
               std::size_t max_lacking,
               Coverage* coverage);

}  // namespace bilberryspool::spread

#endif  // LIBS_SPREAD_COVERAGE_H_
