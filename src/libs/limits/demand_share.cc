#include "libs/limits/demand_share.h"

#include <algorithm>
#include <cmath>

namespace bilberryspool::limits {
namespace {

// Workspaces below this rate, in requests per second, have no demand.
constexpr double kMinRate = 0.01;

double RateIn(const std::unordered_map<Workspace, double>& rates,
              const Workspace& workspace) {
  const auto found = rates.find(workspace);
  return found == rates.end() ? 0.0 : found->second;
}

}  // namespace

DemandShare::DemandShare(DemandShareOptions options) : options_(options) {}

void DemandShare::OnArrival(const Workspace& workspace, TimePoint now) {
  Rate& rate = arrivals_[workspace];
  rate.per_second = Decayed(rate, now) + 1.0 / ToSeconds(options_.averaging);
  rate.last = now;
}

std::vector<WorkspaceDemand> DemandShare::Announce(TimePoint now) {
  std::vector<WorkspaceDemand> demands;
  Announcement announcement{now, {}};
  for (auto it = arrivals_.begin(); it != arrivals_.end();) {
    const double rate = Decayed(it->second, now);
    if (rate < kMinRate) {
      it = arrivals_.erase(it);
      continue;
    }
    demands.push_back(WorkspaceDemand{it->first, rate});
    announcement.rates[it->first] = rate;
    ++it;
  }
  announced_.push_back(std::move(announcement));
  while (announced_.size() > 1 && now - announced_[1].at >= options_.maturity) {
    announced_.pop_front();
  }
  return demands;
}

void DemandShare::OnPeerDemand(const NodeId& peer,
                               const std::vector<WorkspaceDemand>& demands,
                               TimePoint now) {
  Peer& known = peers_[peer];
  known.received_at = now;
  known.rates.clear();
  for (const WorkspaceDemand& demand : demands) {
    known.rates[demand.workspace] = demand.requests_per_second;
  }
}

void DemandShare::ErasePeer(const NodeId& peer) {
  peers_.erase(peer);
}

void DemandShare::Prune(TimePoint now) {
  for (auto it = peers_.begin(); it != peers_.end();) {
    const bool expired = now - it->second.received_at > options_.peer_memory;
    it = expired ? peers_.erase(it) : std::next(it);
  }
}

double DemandShare::Share(const Workspace& workspace) const {
  if (peers_.empty()) {
    return 1.0;
  }
  const double entries = static_cast<double>(peers_.size()) + 1.0;
  const double own = MaturedOwnRate(workspace);
  double total = own;
  for (const auto& [node, peer] : peers_) {
    total += RateIn(peer.rates, workspace);
  }
  const double minimum = options_.floor / entries;
  return total <= 0.0 ? minimum : std::max(minimum, own / total);
}

double DemandShare::EntryShare(TimePoint now) const {
  const double entries = static_cast<double>(peers_.size()) + 1.0;
  double own = 0.0;
  for (const auto& [workspace, rate] : arrivals_) {
    own += Decayed(rate, now);
  }
  double total = own;
  for (const auto& [node, peer] : peers_) {
    for (const auto& [workspace, rate] : peer.rates) {
      total += rate;
    }
  }
  const double minimum = options_.floor / entries;
  return total <= kMinRate ? 1.0 / entries : std::max(minimum, own / total);
}

double DemandShare::Decayed(const Rate& rate, TimePoint now) const {
  const double passed = ToSeconds(std::max(Duration(0), now - rate.last));
  return rate.per_second * std::exp(-passed / ToSeconds(options_.averaging));
}

double DemandShare::MaturedOwnRate(const Workspace& workspace) const {
  const bool matured =
      !announced_.empty() &&
      announced_.back().at - announced_.front().at >= options_.maturity;
  if (!matured) {
    return 0.0;
  }
  // A decrease counts at once, an increase only once it has matured: uses the
  // minimum of the announcements that other entries may still act on.
  double minimum = RateIn(announced_.front().rates, workspace);
  for (const Announcement& announcement : announced_) {
    minimum = std::min(minimum, RateIn(announcement.rates, workspace));
  }
  return minimum;
}

}  // namespace bilberryspool::limits
