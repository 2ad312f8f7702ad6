// Distributes each accepted configuration to every node and keeps it up to
// date.
//
// The leading control VM sends a change to two entries of each failure domain
// (relays), a relay sends it to the entries of its domain, and an entry sends
// it to the agents that announce to it. Each hop is acknowledged and retried
// with backoff; if no relay of a domain acknowledges, the next entries by
// rendezvous rank are used as well. Independently, each entry compares its
// version with that of another node about every second (each agent about every
// three), which repairs whatever the tree missed.
//
// Failures that it handles:
// - lost messages and failed relays;
// - nodes that missed any number of changes: they receive the missing steps or
//   one full state, never a replay from the beginning;
// - an older state that would replace a newer one, from delayed or duplicated
//   messages or from outdated peers after a restart;
// - undetected network partitions, see config_age().
//
//   Spreader spreader(options, seed);
//   for (const SpreaderAction& action : spreader.Handle(event, now)) ...

#ifndef LIBS_SPREAD_SPREADER_H_
#define LIBS_SPREAD_SPREADER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "libs/base/random.h"
#include "libs/base/time.h"
#include "libs/spread/coverage.h"
#include "libs/spread/delta_history.h"
#include "libs/spread/spreader_action.h"
#include "libs/spread/spreader_event.h"

namespace bilberryspool::spread {

enum class SpreaderRole { kControl, kEntry, kAgent };

struct SpreaderOptions {
  NodeId self;
  FailureDomain domain;
  SpreaderRole role = SpreaderRole::kEntry;
  std::size_t relays = 2;  // per failure domain
  Duration tick = Milliseconds(100);
  // The delay between attempts starts at `retry` and grows by `backoff`. Eight
  // attempts take 4.2 s, so that the goal of 4 s can be met when one message in
  // five is lost. After that, only the periodic comparison repairs the node.
  Duration retry = Milliseconds(300);
  Duration backoff = Milliseconds(100);
  int max_tries = 8;
  Duration compare_interval = Seconds(1);
  // Longer than for entries: agents are numerous, and their entry retries until
  // they acknowledge.
  Duration agent_compare_interval = Seconds(3);
  // Interval at which the leader confirms that no newer version exists.
  Duration confirm_interval = Seconds(4);
  // A changed report is sent earlier, within two ticks.
  Duration report_interval = Seconds(5);
  // After a start without state, how long full states are collected before the
  // newest of them is applied.
  Duration offer_window = Milliseconds(500);
  // Maximum config_age() before the configuration counts as stale.
  Duration stale_after = Seconds(20);
  // Entry reports older than this are dropped; a failure domain whose report is
  // older counts as silent.
  Duration report_timeout = Seconds(20);
  // Maximum number of nodes listed in `lacking`.
  std::size_t max_lacking = 8;
  std::size_t history_steps = 64;
  std::size_t history_bytes = 262144;
};

class Spreader {
 public:
  Spreader(SpreaderOptions options, std::uint64_t seed);

  std::vector<SpreaderAction> Handle(const SpreaderEvent& event, TimePoint now);
  std::optional<TimePoint> next_deadline() const { return next_tick_; }

  // An entry becomes a control VM once its replica of the log runs. Until then
  // it must receive the configuration from others, or it would serve without
  // one.
  void SetRole(SpreaderRole role) { options_.role = role; }

  const ConfigPoint& have() const { return have_; }
  // The highest version that any received message mentioned.
  ConfigVersion newest_known() const { return newest_known_; }
  // Time since the leading control VM confirmed that the version in force here
  // is the newest; nullopt before the first confirmation. Operators see it as
  // "vouched for by the leader".
  std::optional<Duration> config_age(TimePoint now) const;
  // Whether answers must be marked as based on a possibly outdated
  // configuration.
  bool stale(TimePoint now) const;
  // On a control VM: on which nodes `version` is in force.
  Coverage coverage(ConfigVersion version, TimePoint now) const;

 private:
  using Actions = std::vector<SpreaderAction>;

  // State of a node that this node keeps up to date.
  struct PeerState {
    std::optional<ConfigPoint> known;  // last reported by it
    ConfigVersion sent;                // last version sent to it
    int tries = 0;
    TimePoint retry_at;
  };

  void Apply(const SpreaderTick& event, TimePoint now, Actions* actions);
  void Apply(const LeadershipChanged& event, TimePoint now, Actions* actions);
  void Apply(const StepAccepted& event, TimePoint now, Actions* actions);
  void Apply(const StateAdopted& event, TimePoint now, Actions* actions);
  void Apply(const TopologyChanged& event, TimePoint now, Actions* actions);
  void Apply(const DeltaReceived& event, TimePoint now, Actions* actions);
  void Apply(const FullReceived& event, TimePoint now, Actions* actions);
  void Apply(const HaveReceived& event, TimePoint now, Actions* actions);
  void Apply(const Applied& event, TimePoint now, Actions* actions);
  void Apply(const ApplyFailed& event, TimePoint now, Actions* actions);

  void SetVersion(const ConfigPoint& point, TimePoint now, Actions* actions);
  void NoteSender(const SenderState& sender, TimePoint now, Actions* actions);
  void NoteConfirmation(const SenderState& sender, TimePoint now);
  void Pull(const NodeId& node, TimePoint now, Actions* actions);
  void StartFull(const FullMessage& message, Actions* actions);
  void ApplyBestOffer(TimePoint now, Actions* actions);
  void NoteReports(const HaveMessage& message, TimePoint now);

  void PushAll(TimePoint now, Actions* actions);
  void PushRelays(TimePoint now, Actions* actions);
  void PushTo(const NodeId& node, bool relay, TimePoint now, Actions* actions);
  void SendNewer(const NodeId& node,
                 const std::optional<ConfigPoint>& known,
                 bool relay,
                 TimePoint now,
                 Actions* actions);
  bool IsKnownPeer(const NodeId& node) const;
  void Compare(TimePoint now, Actions* actions);
  void SendConfirmations(TimePoint now, Actions* actions);
  void Report(TimePoint now, Actions* actions);
  void ReportDomain(TimePoint now, Actions* actions);
  SpreadReport EntryReport() const;
  SpreadReport DomainReport() const;
  HaveMessage MakeHave(TimePoint now) const;
  SenderState MakeSender(TimePoint now) const;
  std::vector<NodeId> RankedEntries(const FailureDomain& domain,
                                    std::size_t count) const;
  std::vector<NodeId> ComparePartners();

  SpreaderOptions options_;
  Random random_;
  ConfigPoint have_;
  ConfigVersion newest_known_;
  std::optional<TimePoint> confirmed_at_;
  bool leading_ = false;
  // Up to this version, this node relays to the entries of its domain.
  ConfigVersion relay_version_;
  std::optional<ConfigPoint> applying_;
  SenderState applying_from_;
  std::vector<DeltaStep> applying_steps_;  // empty for a full state
  std::optional<FullMessage> best_offer_;  // newest one received so far
  std::optional<TimePoint> offer_deadline_;
  TopologyChanged topology_;
  DeltaHistory history_;
  std::map<NodeId, PeerState> peers_;
  ReportTable<NodeId> entry_reports_;
  ReportTable<FailureDomain> domain_reports_;
  SpreadReport last_entry_report_;
  SpreadReport last_domain_report_;
  TimePoint version_changed_at_;
  TimePoint next_tick_;
  TimePoint next_compare_;
  TimePoint next_confirm_;
  TimePoint next_pull_;
  TimePoint entry_report_due_;
  TimePoint domain_report_due_;
};

}  // namespace bilberryspool::spread

#endif  // LIBS_SPREAD_SPREADER_H_
