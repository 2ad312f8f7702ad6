#include "libs/declared_limits/limit_registry.h"

#include <algorithm>

#include "libs/membership/rendezvous.h"

namespace bilberryspool::declared_limits {

bool LimitRegistry::Note(const LimitStatement& statement, TimePoint now) {
  const TimePoint at = now - statement.age;
  const auto found = entries_.find(statement.run.target);
  const bool is_known = found != entries_.end();
  if (!is_known && !statement.per_second.has_value()) {
    return false;
  }
  const bool is_newer_run =
      is_known && statement.run.incarnation > found->second.incarnation;
  if (is_known && !is_newer_run && at <= found->second.received_at) {
    return false;
  }
  if (!is_known) {
    MakeRoom();
  }
  Entry& entry = entries_[statement.run.target];
  const bool is_changed = entry.per_second != statement.per_second ||
                          entry.incarnation != statement.run.incarnation;
  entry.incarnation = statement.run.incarnation;
  entry.per_second = statement.per_second;
  entry.received_at = at;
  if (is_changed) {
    Divide(statement.run.target, entry);
    ++revision_;
  }
  return is_changed;
}

void LimitRegistry::SetGateways(std::vector<std::string> gateways) {
  std::sort(gateways.begin(), gateways.end());
  if (gateways == gateways_) {
    return;
  }
  gateways_ = std::move(gateways);
  for (auto& [target, entry] : entries_) {
    Divide(target, entry);
  }
  revision_ += size() > 0 ? 1 : 0;
}

void LimitRegistry::Tick(TimePoint now) {
  const std::size_t erased = std::erase_if(entries_, [&](const auto& item) {
    return now - item.second.received_at > options_.retention;
  });
  revision_ += erased > 0 ? 1 : 0;
}

std::vector<LimitShare> LimitRegistry::SharesOf(
    const std::string& gateway) const {
  std::vector<LimitShare> shares;
  for (const auto& [target, entry] : entries_) {
    if (!entry.per_second.has_value()) {
      continue;
    }
    const bool has_share = std::find(entry.holders.begin(), entry.holders.end(),
                                     gateway) != entry.holders.end();
    LimitShare share;
    share.run = {target, entry.incarnation};
    share.per_second = *entry.per_second;
    share.share = has_share
                      ? std::max(*entry.per_second, options_.min_per_second) /
                            static_cast<double>(entry.holders.size())
                      : 0.0;
    shares.push_back(share);
  }
  return shares;
}

std::optional<double> LimitRegistry::LimitOf(const TargetRun& run) const {
  const auto found = entries_.find(run.target);
  const bool is_this =
      found != entries_.end() && found->second.incarnation == run.incarnation;
  return is_this ? found->second.per_second : std::nullopt;
}

std::size_t LimitRegistry::size() const {
  return static_cast<std::size_t>(std::count_if(
      entries_.begin(), entries_.end(),
      [](const auto& item) { return item.second.per_second.has_value(); }));
}

void LimitRegistry::Divide(const TargetId& target, Entry& entry) const {
  if (!entry.per_second.has_value()) {
    entry.holders.clear();
    return;
  }
  const double wanted = std::min(*entry.per_second + options_.extra_holders,
                                 static_cast<double>(gateways_.size()));
  entry.holders = membership::RankByRendezvous(
      target.value(), gateways_, static_cast<std::size_t>(wanted));
}

void LimitRegistry::MakeRoom() {
  if (entries_.size() < options_.max_entries) {
    return;
  }
  const auto oldest = std::min_element(
      entries_.begin(), entries_.end(), [](const auto& one, const auto& other) {
        return one.second.received_at < other.second.received_at;
      });
  entries_.erase(oldest);
}

}  // namespace bilberryspool::declared_limits
