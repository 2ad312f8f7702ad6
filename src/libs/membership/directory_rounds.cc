// Periodic tasks and queries of Directory.

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "libs/membership/directory.h"
#include "libs/membership/rendezvous.h"

namespace bilberryspool::membership {
namespace {

// Number of gossip rounds within which updates of an entry reach all others.
constexpr Duration::rep kPropagationRounds = 8;
// Share of work at the start of a ramp-up.
constexpr double kMinRampShare = 0.05;

OfferReason ReasonOf(const TargetRecord& record, bool ramping) {
  if (record.announcement.state == TargetState::kLeaving) {
    return OfferReason::kLeaving;
  }
  if (record.liveness == Liveness::kGone) {
    return OfferReason::kGone;
  }
  if (record.announcement.state == TargetState::kDraining) {
    return OfferReason::kDraining;
  }
  if (record.announcement.state == TargetState::kJoining) {
    return OfferReason::kJoining;
  }
  if (record.liveness == Liveness::kStale) {
    return OfferReason::kStale;
  }
  if (record.liveness == Liveness::kSuspect) {
    return OfferReason::kSuspect;
  }
  if (record.damper.damped()) {
    return OfferReason::kFlapping;
  }
  return ramping ? OfferReason::kRamping : OfferReason::kServing;
}

Offer OfferFor(OfferReason reason) {
  switch (reason) {
    case OfferReason::kServing:
    case OfferReason::kRamping:
      return Offer::kYes;
    case OfferReason::kSuspect:
    case OfferReason::kStale:
    case OfferReason::kFlapping:
      return Offer::kLastResort;
    case OfferReason::kJoining:
    case OfferReason::kDraining:
    case OfferReason::kLeaving:
    case OfferReason::kGone:
      return Offer::kNo;
  }
  return Offer::kNo;
}

// Share of work `elapsed` after the return of a domain. The start of each
// target is delayed by up to a quarter of the ramp, depending on its id, so
// that not all targets get their first requests at once.
double RampShare(const TargetId& target,
                 Duration elapsed,
                 Duration ramp_duration) {
  if (elapsed >= ramp_duration) {
    return 1.0;
  }
  const double jitter =
      static_cast<double>(StableHash(target.value()) % 1000) / 4000.0;
  const double progress = ToSeconds(elapsed) / ToSeconds(ramp_duration);
  return std::max(kMinRampShare, (progress - jitter) / (1.0 - jitter));
}

}  // namespace

std::vector<TargetView> Directory::targets(TimePoint now) const {
  std::vector<TargetView> views;
  views.reserve(table_.records().size());
  for (const auto& [target, record] : table_.records()) {
    views.push_back(View(record, now));
  }
  return views;
}

std::optional<TargetView> Directory::target(const TargetId& target,
                                            TimePoint now) const {
  const auto found = table_.records().find(target);
  if (found == table_.records().end()) {
    return std::nullopt;
  }
  return View(found->second, now);
}

TargetView Directory::View(const TargetRecord& record, TimePoint now) const {
  const DomainState domain = watch_.State(record.announcement.domain);
  TargetView view;
  view.announcement = &record.announcement;
  if (domain.reachable && domain.returned_at != TimePoint()) {
    view.share = RampShare(record.announcement.target, now - domain.returned_at,
                           options_.ramp_duration);
  }
  view.reason = ReasonOf(record, view.share < 1.0);
  view.offer = OfferFor(view.reason);
  view.load = record.load;
  view.load.age = now - record.load_at;
  view.last_seen_age = now - record.last_seen_at;
  view.last_seen_by =
      record.direct ? options_.self.node : record.heartbeat_stamp.origin;
  view.direct = record.direct;
  view.liveness = record.liveness;
  return view;
}

// Updates of an entry take about log2(entries) rounds to reach the others.
Duration Directory::entry_window() const {
  return options_.entry_silent_after +
         kPropagationRounds * (round_interval_ - options_.gossip_interval);
}

std::vector<EntryInfo> Directory::live_entries(TimePoint now) const {
  return peers_.Live(options_.self.domain, now, entry_window());
}

std::vector<EntryInfo> Directory::contacts(const FailureDomain& domain,
                                           TimePoint now) const {
  std::vector<EntryInfo> live = peers_.Live(domain, now, entry_window());
  if (!live.empty()) {
    return live;
  }
  const auto found = summaries_.rows().find(domain);
  if (found == summaries_.rows().end()) {
    return live;
  }
  return found->second.summary.contacts;
}

void Directory::UpdateDomains(TimePoint now, Actions* actions) {
  std::set<FailureDomain> domains;
  for (const auto& [target, record] : table_.records()) {
    domains.insert(record.announcement.domain);
  }
  for (const auto& [domain, row] : summaries_.rows()) {
    domains.insert(domain);
  }
  for (const FailureDomain& domain : domains) {
    if (watch_.Update(domain, Evidence(domain, now), now)) {
      actions->push_back(DomainChanged{watch_.State(domain)});
    }
  }
}

DomainEvidence Directory::Evidence(const FailureDomain& domain,
                                   TimePoint now) const {
  DomainEvidence evidence;
  for (const auto& [target, record] : table_.records()) {
    if (record.announcement.domain != domain ||
        record.announcement.state == TargetState::kLeaving ||
        record.liveness == Liveness::kGone) {
      continue;
    }
    ++evidence.watched;
    const Duration allowance = timing_.Allowance(record.direct);
    if (now - record.last_seen_at >
        options_.targets.suspect_after + allowance) {
      ++evidence.silent;
    }
  }
  if (domain == options_.self.domain) {
    return evidence;
  }
  TimePoint last_seen = peers_.LastSeen(domain);
  Duration bound = entry_window();
  const auto summary = summaries_.rows().find(domain);
  if (last_seen == TimePoint()) {
    bound = options_.summary_silent_after;
    last_seen = summary == summaries_.rows().end()
                    ? started_at_
                    : summary->second.computed_at;
  }
  evidence.entries_silent = now - std::max(last_seen, started_at_) > bound;
  return evidence;
}

// The first entry of the domain by rendezvous rank publishes the summary in
// each interval. The second one does if the summary is overdue by two
// intervals.
void Directory::PublishSummary(TimePoint now) {
  const FailureDomain& domain = options_.self.domain;
  std::vector<std::string> live;
  for (const EntryInfo& entry : live_entries(now)) {
    live.push_back(entry.node.value());
  }
  const std::vector<std::string> ranked =
      RankByRendezvous(domain.value(), std::move(live), 2);
  const bool first = ranked.front() == options_.self.node.value();
  const bool second = !first && ranked.back() == options_.self.node.value();
  if (!first && !second) {
    return;
  }
  const auto row = summaries_.rows().find(domain);
  const Duration due = options_.summary_interval * (first ? 1 : 3);
  if (row != summaries_.rows().end() && now - row->second.computed_at < due) {
    return;
  }
  summaries_.Publish(Summarize(now), now);
}

DomainSummary Directory::Summarize(TimePoint now) const {
  DomainSummary summary;
  summary.domain = options_.self.domain;
  const std::vector<EntryInfo> live = live_entries(now);
  summary.entries = static_cast<std::uint32_t>(live.size());
  const auto count = std::min(options_.contacts, live.size());
  std::vector<std::string> names;
  names.reserve(live.size());
  for (const EntryInfo& entry : live) {
    names.push_back(entry.node.value());
  }
  const std::vector<std::string> ranked =
      RankByRendezvous(summary.domain.value(), std::move(names), count);
  for (const std::string& name : ranked) {
    summary.contacts.push_back(peers_.peers().at(NodeId(name)).info);
  }
  std::map<ServiceId, ServiceSummary> services;
  for (const auto& [target, record] : table_.records()) {
    if (record.announcement.domain != summary.domain ||
        record.announcement.state != TargetState::kServing ||
        record.liveness == Liveness::kGone) {
      continue;
    }
    ++summary.targets;
    for (const ServiceId& service : record.announcement.services) {
      ServiceSummary& sums = services[service];
      sums.service = service;
      ++sums.targets;
      sums.slots += record.announcement.slots;
      sums.running += record.load.running;
      sums.queued += record.load.queued;
    }
  }
  for (const auto& [service, sums] : services) {
    summary.services.push_back(sums);
  }
  return summary;
}

void Directory::Gossip(TimePoint now, Actions* actions) {
  std::map<std::string, FailureDomain> domains;
  for (const auto& [node, peer] : peers_.peers()) {
    domains[peer.info.peer_address] = peer.info.domain;
  }
  for (const std::string& address : SelectGossipPeers(now)) {
    const auto known = domains.find(address);
    const bool detail = known == domains.end() || HasDetailFor(known->second);
    actions->push_back(SendToPeer{address, BuildDigest(sources(), detail)});
  }
}

std::vector<std::string> Directory::SelectGossipPeers(TimePoint now) {
  std::vector<std::string> detail_peers;
  for (const auto& [node, peer] : peers_.peers()) {
    const bool live = now - peer.last_seen_at <= entry_window();
    if (node != options_.self.node && live && HasDetailFor(peer.info.domain)) {
      detail_peers.push_back(peer.info.peer_address);
    }
  }
  // Without a peer that it exchanges details with, an entry contacts a seed in
  // every round. Otherwise it would stay isolated, regardless of the number of
  // other domains it exchanges summaries with.
  const bool is_isolated = detail_peers.empty();
  std::vector<std::string> selected;
  if (!detail_peers.empty()) {
    selected.push_back(detail_peers[random_.Below(detail_peers.size())]);
  }
  const std::vector<std::string> other_domains = OtherDomainAddresses(now);
  const double own = static_cast<double>(live_entries(now).size());
  if (!other_domains.empty() &&
      random_.Chance(options_.cross_exchanges / own)) {
    selected.push_back(other_domains[random_.Below(other_domains.size())]);
  }
  if (!options_.seeds.empty() &&
      (is_isolated || random_.Chance(options_.seed_chance))) {
    selected.push_back(options_.seeds[random_.Below(options_.seeds.size())]);
  }
  std::erase(selected, options_.self.peer_address);
  return selected;
}

// Addresses of entries in other domains, including unresponsive ones, as the
// end of a partition is detected only by contacting them.
std::vector<std::string> Directory::OtherDomainAddresses(TimePoint now) const {
  std::set<std::string> addresses;
  for (const auto& [domain, row] : summaries_.rows()) {
    if (domain == options_.self.domain) {
      continue;
    }
    for (const EntryInfo& contact : row.summary.contacts) {
      addresses.insert(contact.peer_address);
    }
  }
  for (const auto& [node, peer] : peers_.peers()) {
    const bool silent = now - peer.last_seen_at > entry_window();
    if (peer.info.domain != options_.self.domain && silent) {
      addresses.insert(peer.info.peer_address);
    }
  }
  return {addresses.begin(), addresses.end()};
}

}  // namespace bilberryspool::membership
