#ifndef LIBS_MEMBERSHIP_SUMMARY_TABLE_H_
#define LIBS_MEMBERSHIP_SUMMARY_TABLE_H_

#include <cstdint>
#include <map>
#include <vector>

#include "libs/base/time.h"
#include "libs/membership/gossip.h"

namespace bilberryspool::membership {

// The newest summary of each failure domain.
class SummaryTable {
 public:
  struct Row {
    DomainSummary summary;
    TimePoint computed_at;  // by this entry's time
  };

  // Keeps the higher version.
  void Merge(const DomainSummary& summary, TimePoint now);
  // Puts this domain's own new summary in, with the next version.
  void Publish(DomainSummary summary, TimePoint now);

  std::uint64_t Version(const FailureDomain& domain) const;
  // Those above the versions named in `known`, with their ages at `now`.
  std::vector<DomainSummary> NewerThan(const std::vector<SummaryVersion>& known,
                                       TimePoint now) const;
  std::vector<SummaryVersion> versions() const;
  const std::map<FailureDomain, Row>& rows() const { return rows_; }

 private:
  std::map<FailureDomain, Row> rows_;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_SUMMARY_TABLE_H_
