// Spreader: pushing to peers, periodic comparison and reports.

#include <algorithm>
#include <string>
#include <utility>

#include "libs/membership/rendezvous.h"
#include "libs/spread/spreader.h"

namespace bilberryspool::spread {
namespace {

// Probability that a comparison also includes a node of another failure domain.
constexpr double kOtherDomainProbability = 0.25;

}  // namespace

void Spreader::Apply(const SpreaderTick& /*event*/,
                     TimePoint now,
                     Actions* actions) {
  if (now < next_tick_) {
    return;
  }
  next_tick_ = now + options_.tick;
  ApplyBestOffer(now, actions);
  PushAll(now, actions);
  SendConfirmations(now, actions);
  Compare(now, actions);
  Report(now, actions);
}

void Spreader::PushAll(TimePoint now, Actions* actions) {
  if (have_.version == ConfigVersion()) {
    return;
  }
  for (const NodeId& agent : topology_.agents) {
    PushTo(agent, false, now, actions);
  }
  if (leading_) {
    PushRelays(now, actions);
  }
  const auto own_domain = topology_.entries.find(options_.domain);
  if (relay_version_ < have_.version || own_domain == topology_.entries.end()) {
    return;
  }
  for (const NodeId& entry : own_domain->second) {
    PushTo(entry, false, now, actions);
  }
}

// While no relay of a domain has acknowledged, another one is added in each
// retry interval, so that failed relays delay their domain by less than a
// second.
void Spreader::PushRelays(TimePoint now, Actions* actions) {
  const auto waited =
      static_cast<std::size_t>((now - version_changed_at_) / options_.retry);
  for (const auto& [domain, entries] : topology_.entries) {
    const std::vector<NodeId> ranked = RankedEntries(domain, entries.size());
    std::size_t used = std::min(options_.relays, ranked.size());
    const bool started =
        std::any_of(ranked.begin(), ranked.end(), [this](const NodeId& node) {
          const auto peer = peers_.find(node);
          return peer != peers_.end() && peer->second.known &&
                 peer->second.known->version >= have_.version;
        });
    if (!started) {
      used = std::min(ranked.size(), used + waited);
    }
    for (std::size_t i = 0; i < used; ++i) {
      if (ranked[i] == options_.self) {
        relay_version_ = have_.version;
        continue;
      }
      PushTo(ranked[i], true, now, actions);
    }
  }
}

void Spreader::PushTo(const NodeId& node,
                      bool relay,
                      TimePoint now,
                      Actions* actions) {
  if (node == options_.self) {
    return;
  }
  PeerState& peer = peers_[node];
  if (peer.known && peer.known->version >= have_.version) {
    return;
  }
  if (peer.sent != have_.version) {
    peer.sent = have_.version;
    peer.tries = 0;
    peer.retry_at = now;
  }
  if (now < peer.retry_at || peer.tries >= options_.max_tries) {
    return;
  }
  peer.retry_at = now + options_.retry + options_.backoff * peer.tries;
  ++peer.tries;
  SendNewer(node, peer.known, relay, now, actions);
}

// A node that has sent no message yet most likely lacks only the last step; the
// full state is sent only to nodes that are known to need it. A node without
// any state is not sent steps, because it first compares several full states.
void Spreader::SendNewer(const NodeId& node,
                         const std::optional<ConfigPoint>& known,
                         bool relay,
                         TimePoint now,
                         Actions* actions) {
  const bool has_nothing = known && known->version == ConfigVersion();
  const std::optional<std::vector<DeltaStep>> steps =
      known ? history_.Since(*known) : history_.Last();
  if (steps && !has_nothing) {
    actions->push_back(
        SendDelta{node, DeltaMessage{MakeSender(now), *steps, relay}});
    return;
  }
  if (known) {
    actions->push_back(
        SendFull{node, FullMessage{MakeSender(now), have_, {}, relay}});
    return;
  }
  actions->push_back(SendHave{node, MakeHave(now)});
}

bool Spreader::IsKnownPeer(const NodeId& node) const {
  const auto contains = [&](const std::vector<NodeId>& nodes) {
    return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
  };
  if (contains(topology_.agents) || contains(topology_.parents) ||
      contains(topology_.control)) {
    return true;
  }
  return std::any_of(topology_.entries.begin(), topology_.entries.end(),
                     [&](const auto& item) { return contains(item.second); });
}

void Spreader::Compare(TimePoint now, Actions* actions) {
  if (now < next_compare_) {
    return;
  }
  const Duration interval = options_.role == SpreaderRole::kAgent
                                ? options_.agent_compare_interval
                                : options_.compare_interval;
  next_compare_ = now + random_.Between(interval * 3 / 4, interval * 5 / 4);
  for (const NodeId& partner : ComparePartners()) {
    HaveMessage message = MakeHave(now);
    message.wants_newer = have_.version == ConfigVersion();
    actions->push_back(SendHave{partner, std::move(message)});
  }
}

std::vector<NodeId> Spreader::ComparePartners() {
  std::vector<NodeId> own_domain;
  std::vector<NodeId> other_domains;
  for (const auto& [domain, entries] : topology_.entries) {
    std::vector<NodeId>& list =
        domain == options_.domain ? own_domain : other_domains;
    std::copy_if(entries.begin(), entries.end(), std::back_inserter(list),
                 [this](const NodeId& node) { return node != options_.self; });
  }
  own_domain.insert(own_domain.end(), topology_.parents.begin(),
                    topology_.parents.end());
  const bool starting = have_.version == ConfigVersion();
  std::vector<NodeId> partners;
  for (int i = 0; i < (starting ? 2 : 1) && !own_domain.empty(); ++i) {
    partners.push_back(own_domain[random_.Below(own_domain.size())]);
  }
  if (!other_domains.empty() && (starting || own_domain.empty() ||
                                 random_.Chance(kOtherDomainProbability))) {
    partners.push_back(other_domains[random_.Below(other_domains.size())]);
  }
  return partners;
}

void Spreader::SendConfirmations(TimePoint now, Actions* actions) {
  if (!leading_ || now < next_confirm_) {
    return;
  }
  next_confirm_ = now + options_.confirm_interval;
  for (const auto& [domain, entries] : topology_.entries) {
    for (const NodeId& relay : RankedEntries(domain, options_.relays)) {
      if (relay != options_.self) {
        actions->push_back(SendHave{relay, MakeHave(now)});
      }
    }
  }
}

HaveMessage Spreader::MakeHave(TimePoint now) const {
  HaveMessage message;
  message.sender = MakeSender(now);
  return message;
}

SenderState Spreader::MakeSender(TimePoint now) const {
  SenderState state{options_.self, options_.domain, have_, newest_known_};
  if (const std::optional<Duration> age = config_age(now)) {
    state.confirmed = true;
    state.age = *age;
  }
  return state;
}

std::vector<NodeId> Spreader::RankedEntries(const FailureDomain& domain,
                                            std::size_t count) const {
  const auto found = topology_.entries.find(domain);
  if (found == topology_.entries.end()) {
    return {};
  }
  std::vector<std::string> names;
  for (const NodeId& node : found->second) {
    names.push_back(node.value());
  }
  std::vector<NodeId> ranked;
  for (std::string& name :
       membership::RankByRendezvous(domain.value(), std::move(names), count)) {
    ranked.emplace_back(std::move(name));
  }
  return ranked;
}

void Spreader::NoteReports(const HaveMessage& message, TimePoint now) {
  for (const SpreadReport& report : message.entry_report) {
    entry_reports_.Update(message.sender.node, report, now);
  }
  for (const SpreadReport& report : message.domain_report) {
    domain_reports_.Update(message.sender.domain, report, now);
  }
}

SpreadReport Spreader::EntryReport() const {
  SpreadReport report{have_.version, 1, 1, {}};
  for (const NodeId& agent : topology_.agents) {
    ++report.nodes;
    const auto peer = peers_.find(agent);
    if (peer != peers_.end() && peer->second.known &&
        peer->second.known->version >= have_.version) {
      ++report.in_force;
    } else if (report.lacking.size() < options_.max_lacking) {
      report.lacking.push_back(agent);
    }
  }
  return report;
}

SpreadReport Spreader::DomainReport() const {
  Coverage sum;
  for (const auto& [node, row] : entry_reports_.rows()) {
    AddReport(row.report, have_.version, options_.max_lacking, &sum);
    if (row.report.version < have_.version &&
        sum.lacking.size() < options_.max_lacking) {
      sum.lacking.push_back(node);
    }
  }
  return {have_.version, sum.nodes, sum.in_force, sum.lacking};
}

void Spreader::Report(TimePoint now, Actions* actions) {
  if (options_.role == SpreaderRole::kAgent) {
    return;
  }
  const SpreadReport report = EntryReport();
  const bool changed = !(report == last_entry_report_);
  if (changed || now >= entry_report_due_) {
    last_entry_report_ = report;
    entry_report_due_ = now + options_.report_interval;
    for (const NodeId& relay :
         RankedEntries(options_.domain, options_.relays)) {
      if (relay == options_.self) {
        entry_reports_.Update(options_.self, report, now);
        continue;
      }
      HaveMessage message = MakeHave(now);
      message.entry_report.push_back(report);
      actions->push_back(SendHave{relay, std::move(message)});
    }
  }
  ReportDomain(now, actions);
}

void Spreader::ReportDomain(TimePoint now, Actions* actions) {
  entry_reports_.RemoveOlderThan(now, options_.report_timeout);
  const std::vector<NodeId> relays =
      RankedEntries(options_.domain, options_.relays);
  if (std::find(relays.begin(), relays.end(), options_.self) == relays.end()) {
    return;
  }
  const SpreadReport report = DomainReport();
  if (report == last_domain_report_ && now < domain_report_due_) {
    return;
  }
  last_domain_report_ = report;
  domain_report_due_ = now + options_.report_interval;
  for (const NodeId& control : topology_.control) {
    if (control == options_.self) {
      domain_reports_.Update(options_.domain, report, now);
      continue;
    }
    HaveMessage message = MakeHave(now);
    message.domain_report.push_back(report);
    actions->push_back(SendHave{control, std::move(message)});
  }
}

Coverage Spreader::coverage(ConfigVersion version, TimePoint now) const {
  Coverage sum;
  for (const auto& [domain, row] : domain_reports_.rows()) {
    AddReport(row.report, version, options_.max_lacking, &sum);
    if (now - row.at > options_.report_timeout) {
      sum.silent_domains.push_back(domain);
    }
  }
  return sum;
}

}  // namespace bilberryspool::spread
