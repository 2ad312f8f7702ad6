#ifndef LIBS_MEMBERSHIP_SUMMARY_TABLE_H_
#define LIBS_MEMBERSHIP_SUMMARY_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libs/base/time.h"
#include "libs/membership/gossip.h"

namespace bilberryspool::membership {

// Newest known summary of each failure domain.
class SummaryTable {
 public:
  struct Row {
    DomainSummary summary;
    TimePoint computed_at;  // by the clock of this entry
  };

  // Stores the summary if its version is higher than the known one.
  void Merge(const DomainSummary& summary, TimePoint now);
  // Stores a new summary of this entry's own domain with the next version.
  void Publish(DomainSummary summary, TimePoint now);

  std::uint64_t Version(const FailureDomain& domain) const;
  // Summaries newer than the versions in `known`, with their ages at `now`.
  std::vector<DomainSummary> NewerThan(const std::vector<SummaryVersion>& known,
                                       TimePoint now) const;
  std::vector<SummaryVersion> versions() const;
  const std::map<FailureDomain, Row>& rows() const { return rows_; }

 private:
  std::map<FailureDomain, Row> rows_;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_SUMMARY_TABLE_H_
