#ifndef LIBS_SPREAD_COVERAGE_H_
#define LIBS_SPREAD_COVERAGE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "libs/base/time.h"
#include "libs/spread/spread_message.h"

namespace bilberryspool::spread {

// Answer to "in force on M of K, and who lacks it".
struct Coverage {
  std::uint32_t nodes = 0;
  std::uint32_t in_force = 0;
  std::vector<NodeId> lacking;                // a few
  std::vector<FailureDomain> silent_domains;  // no report of late

  bool complete() const { return in_force == nodes && silent_domains.empty(); }
};

// Adds up reports by whoever sent them; the newest of each counts.
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

// Adds what `report` says of `version` to `coverage`. A report of a later
// version speaks for the earlier one too; one of an earlier version means
// that none of its nodes is known to have it.
void AddReport(const SpreadReport& report,
               ConfigVersion version,
               std::size_t max_lacking,
               Coverage* coverage);

}  // namespace bilberryspool::spread

#endif  // LIBS_SPREAD_COVERAGE_H_
