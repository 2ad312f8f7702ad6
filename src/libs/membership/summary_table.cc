#include "libs/membership/summary_table.h"

#include <utility>

namespace bilberryspool::membership {

void SummaryTable::Merge(const DomainSummary& summary, TimePoint now) {
  const auto found = rows_.find(summary.domain);
  if (found != rows_.end() &&
      summary.version <= found->second.summary.version) {
    return;
  }
  rows_[summary.domain] = Row{summary, now - summary.age};
}

void SummaryTable::Publish(DomainSummary summary, TimePoint now) {
  summary.version = Version(summary.domain) + 1;
  summary.age = Duration(0);
  const FailureDomain domain = summary.domain;
  rows_[domain] = Row{std::move(summary), now};
}

std::uint64_t SummaryTable::Version(const FailureDomain& domain) const {
  const auto found = rows_.find(domain);
  return found == rows_.end() ? 0 : found->second.summary.version;
}

std::vector<DomainSummary> SummaryTable::NewerThan(
    const std::vector<SummaryVersion>& known,
    TimePoint now) const {
  std::map<FailureDomain, std::uint64_t> versions;
  for (const SummaryVersion& row : known) {
    versions[row.domain] = row.version;
  }
  std::vector<DomainSummary> newer;
  for (const auto& [domain, row] : rows_) {
    if (row.summary.version <= versions[domain]) {
      continue;
    }
    newer.push_back(row.summary);
    newer.back().age = now - row.computed_at;
  }
  return newer;
}

std::vector<SummaryVersion> SummaryTable::versions() const {
  std::vector<SummaryVersion> versions;
  for (const auto& [domain, row] : rows_) {
    versions.push_back({domain, row.summary.version});
  }
  return versions;
}

}  // namespace bilberryspool::membership
