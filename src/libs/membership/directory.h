// The entry's side of membership: who is there, in which state, how loaded,
// and which failure domains are cut off.
//
// Agents announce themselves to entries of their own failure domain. Entries
// of one domain exchange all they know; across domains only summaries travel,
// but for small deployments, where every entry knows every target so that
// work can spill over.
//
// Guards against: older news overwriting newer (a leaving target offered
// again), two processes with one identity, lost gossip (gaps are filled by
// the next exchange), an entry's restart with empty memory, evicting a whole
// failure domain for a network partition, and a rush of work onto a domain or
// target that has just come back.
//
//   Directory directory(options, seed);
//   for (const DirectoryAction& action : directory.Handle(event, now)) ...
//   for (const TargetView& view : directory.targets(now)) ...

#ifndef LIBS_MEMBERSHIP_DIRECTORY_H_
#define LIBS_MEMBERSHIP_DIRECTORY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/membership/directory_action.h"
#include "libs/membership/directory_event.h"
#include "libs/membership/domain_watch.h"
#include "libs/membership/gossip_builder.h"
#include "libs/membership/peer_table.h"
#include "libs/membership/summary_table.h"
#include "libs/membership/target_table.h"
#include "libs/membership/target_view.h"

namespace bilberryspool::membership {

struct DirectoryOptions {
  EntryInfo self;
  std::vector<std::string> seeds;  // peer addresses of some entries
  // Gossip rounds and heartbeats stretch with the domain, so that the messages
  // per node stay bounded: a round lasts at least `gossip_per_entry` for each
  // live entry, a heartbeat interval `heartbeat_per_agent` for each agent that
  // an entry hears on average.
  Duration gossip_interval = Milliseconds(700);
  Duration gossip_per_entry = Milliseconds(40);
  Duration heartbeat_interval = Seconds(1);
  Duration heartbeat_per_agent = Milliseconds(120);
  // Chance that a round goes to a seed, known or not: joins two halves that
  // have forgotten each other.
  double seed_chance = 0.05;
  // Exchanges with other domains that one domain starts per round, in sum.
  double cross_exchanges = 4;
  // Each target's load is passed on this often at most, and less often in
  // large domains: the bytes per node stay bounded instead.
  Duration min_refresh_interval = Seconds(1);
  double rows_per_second = 40;
  std::size_t row_limit = 400;  // of one message
  Duration summary_interval = Seconds(10);
  std::size_t contacts = 3;  // live entries named in a summary
  // Up to so many targets in all, every entry knows each in detail.
  std::size_t detail_threshold = 64;
  // Plus some rounds where they are stretched.
  Duration entry_silent_after = Seconds(4);
  Duration summary_silent_after = Seconds(40);
  Duration entry_retention = Seconds(600);
  Duration ramp_duration = Seconds(10);  // of work, after a domain's return
  TargetTableOptions targets;
  DomainWatchOptions domains;
};

class Directory {
 public:
  Directory(DirectoryOptions options, std::uint64_t seed);

  std::vector<DirectoryAction> Handle(const DirectoryEvent& event,
                                      TimePoint now);
  std::optional<TimePoint> next_deadline() const { return next_tick_; }

  // All known targets, gone and leaving ones included.
  std::vector<TargetView> targets(TimePoint now) const;
  std::optional<TargetView> target(const TargetId& target, TimePoint now) const;
  // The entries of this domain that are heard, this one included.
  std::vector<EntryInfo> live_entries(TimePoint now) const;
  // Entries of `domain` to speak to: those heard, else those its summary names.
  std::vector<EntryInfo> contacts(const FailureDomain& domain,
                                  TimePoint now) const;
  const std::map<FailureDomain, SummaryTable::Row>& summaries() const {
    return summaries_.rows();
  }
  DomainState domain_state(const FailureDomain& domain) const {
    return watch_.State(domain);
  }
  const std::map<FailureDomain, DomainState>& domain_states() const {
    return watch_.states();
  }
  const PeerTable& peers() const { return peers_; }
  // Whether targets of other domains are known one by one.
  bool detail_everywhere() const { return detail_everywhere_; }
  // How often each target's load is passed on.
  Duration refresh_interval() const { return timing_.refresh_interval; }

 private:
  using Actions = std::vector<DirectoryAction>;

  void Apply(const DirectoryTick& event, TimePoint now, Actions* actions);
  void Apply(const AnnouncementReceived& event, TimePoint now, Actions* out);
  void Apply(const HeartbeatReceived& event, TimePoint now, Actions* actions);
  void Apply(const PeerMessageReceived& event, TimePoint now, Actions* actions);

  void HandleMessage(const GossipDigest& digest,
                     TimePoint now,
                     Actions* actions);
  void HandleMessage(const GossipDelta& delta, TimePoint now, Actions* actions);
  void AddContacts(const DomainSummary& summary, TimePoint now);
  void MergeDetail(const GossipDelta& delta, TimePoint now, Actions* actions);
  void HandleMessage(const AnnouncementRequest& request,
                     TimePoint now,
                     Actions* out);

  AnnounceReply MakeReply(const TargetId& target,
                          const Claim& claim,
                          TimePoint now) const;
  void ReportConflictOnce(const MergeResult& result,
                          const Announcement& arrived,
                          Actions* actions);
  void UpdateAndReportLiveness(TargetRecord* record,
                               TimePoint now,
                               Actions* actions);
  void PushUpdate(const TargetRecord& record,
                  bool announcement,
                  TimePoint now,
                  Actions* actions) const;

  void UpdateScaling(TimePoint now);
  void UpdateDomains(TimePoint now, Actions* actions);
  DomainEvidence Evidence(const FailureDomain& domain, TimePoint now) const;
  void Gossip(TimePoint now, Actions* actions);
  void PublishSummary(TimePoint now);
  DomainSummary Summarize(TimePoint now) const;
  std::vector<std::string> SelectGossipPeers(TimePoint now);
  std::vector<std::string> OtherDomainAddresses(TimePoint now) const;
  TargetView View(const TargetRecord& record, TimePoint now) const;
  GossipSources sources() const { return {&peers_, &table_, &summaries_}; }
  Duration entry_window() const;
  bool HasDetailFor(const FailureDomain& domain) const;

  DirectoryOptions options_;
  Random random_;
  PeerTable peers_;
  TargetTable table_;
  SummaryTable summaries_;
  DomainWatch watch_;
  TimePoint next_tick_;
  TimePoint started_at_;
  bool started_ = false;
  RefreshTiming timing_;
  Duration round_interval_;
  Duration heartbeat_interval_;
  bool detail_everywhere_ = true;
  std::set<std::pair<Claim, Claim>> reported_conflicts_;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_DIRECTORY_H_
