// Entry side of membership: tracks the targets with their state, liveness and
// load, and which failure domains are unreachable.
//
// Agents announce themselves to entries of their own failure domain. Entries of
// one domain exchange their full state by gossip; between domains only
// summaries are exchanged. In small deployments every entry knows every target,
// so that work can spill over to other domains.
//
// Failures handled:
// - Old messages that arrive late do not overwrite newer state; otherwise a
//   leaving target would be offered again.
// - Two processes with the same identity: all entries choose the same one.
// - Lost gossip messages: the next exchange fills the gaps.
// - A restart of an entry without state.
// - A network partition: a whole failure domain is not evicted.
// - The return of a domain or target: work ramps up slowly instead of rushing
//   onto it.
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
  std::vector<std::string> seeds;  // peer addresses of initial entries
  // Intervals of gossip rounds and heartbeats. They grow with the domain to
  // bound the number of messages per node: a round takes at least
  // `gossip_per_entry` times the number of live entries, a heartbeat interval
  // at least `heartbeat_per_agent` times the average number of agents per
  // entry.
  Duration gossip_interval = Milliseconds(700);
  Duration gossip_per_entry = Milliseconds(40);
  Duration heartbeat_interval = Seconds(1);
  Duration heartbeat_per_agent = Milliseconds(120);
  // Probability that a round also contacts a random seed, known or not. This
  // rejoins partitions that have removed each other's entries.
  double seed_chance = 0.05;
  // Total number of exchanges with other domains that the entries of one domain
  // start per round.
  double cross_exchanges = 4;
  // Minimum interval between two updates of a target's load to other entries.
  // It grows with the number of targets, so that each entry sends about
  // `rows_per_second`, which bounds the bytes per node.
  Duration min_refresh_interval = Seconds(1);
  double rows_per_second = 40;
  std::size_t row_limit = 400;  // target rows per message
  Duration summary_interval = Seconds(10);
  std::size_t contacts = 3;  // live entries listed in a summary
  // Maximum total number of targets up to which every entry knows each of them
  // in detail.
  std::size_t detail_threshold = 64;
  // An entry is live for this time after its last update, plus some rounds if
  // rounds take longer than `gossip_interval`.
  Duration entry_silent_after = Seconds(4);
  Duration summary_silent_after = Seconds(40);
  Duration entry_retention = Seconds(600);
  Duration ramp_duration = Seconds(10);  // of work after a domain returns
  TargetTableOptions targets;
  DomainWatchOptions domains;
};

// State machine without I/O: Handle() returns the actions to perform.
class Directory {
 public:
  Directory(DirectoryOptions options, std::uint64_t seed);

  std::vector<DirectoryAction> Handle(const DirectoryEvent& event,
                                      TimePoint now);
  std::optional<TimePoint> next_deadline() const { return next_tick_; }

  // All known targets, including gone and leaving ones.
  std::vector<TargetView> targets(TimePoint now) const;
  std::optional<TargetView> target(const TargetId& target, TimePoint now) const;
  // Live entries of this domain, including this one.
  std::vector<EntryInfo> live_entries(TimePoint now) const;
  // Entries of `domain` to contact: the live ones, or those listed in its
  // summary if none is known to be live.
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
  // Whether targets of other domains are known individually.
  bool detail_everywhere() const { return detail_everywhere_; }
  // Interval between two updates of a target's load to other entries.
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
