// Brings each accepted configuration to every node, and keeps it there.
//
// The leading control VM sends a change to two entries of each failure domain
// (relays), a relay to the entries of its domain, an entry to the agents that
// announce to it. Each hop is acknowledged and retried with backoff; a relay
// that does not acknowledge is joined by the next one by rendezvous rank.
// Independently each node compares what it has with another one every second,
// which fills whatever the tree left out.
//
// Guards against: lost messages, relays that die, nodes that missed any
// number of changes (they get steps or one whole state, never a replay from
// the beginning), an older state over a newer one (late or duplicated
// messages, stale peers after a restart), and a cut that nobody notices
// (config_age).
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
  // Waits between tries grow by `backoff`: eight tries take 4.2 s, so that a
  // loss of one message in five leaves the goal of 4 s within reach. After
  // them the comparison takes over.
  Duration retry = Milliseconds(300);
  Duration backoff = Milliseconds(100);
  int max_tries = 8;
  Duration compare_interval = Seconds(1);
  // Agents are many, and their entry retries until they acknowledge.
  Duration agent_compare_interval = Seconds(3);
  // The leader vouches this often that nothing newer exists.
  Duration confirm_interval = Seconds(4);
  Duration report_interval = Seconds(5);  // and within `tick` x 2 on a change
  // After a start without state, how long offers are compared before the
  // newest of them is applied.
  Duration offer_window = Milliseconds(500);
  Duration stale_after = Seconds(20);
  Duration report_timeout = Seconds(20);
  std::size_t max_lacking = 8;
  std::size_t history_steps = 64;
  std::size_t history_bytes = 262144;
};

class Spreader {
 public:
  Spreader(SpreaderOptions options, std::uint64_t seed);

  std::vector<SpreaderAction> Handle(const SpreaderEvent& event, TimePoint now);
  std::optional<TimePoint> next_deadline() const { return next_tick_; }

  // An entry takes part as a control VM from when it has the log on: until
  // then it must get the configuration from others, or it would serve without.
  void SetRole(SpreaderRole role) { options_.role = role; }

  const ConfigPoint& have() const { return have_; }
  // The highest version that any message named.
  ConfigVersion newest_known() const { return newest_known_; }
  // How long ago the leading control VM vouched for what is in force here;
  // nothing before the first time.
  std::optional<Duration> config_age(TimePoint now) const;
  // Whether to mark answers as resting on an old configuration.
  bool stale(TimePoint now) const;
  // On a control VM: how far `version` is in force.
  Coverage coverage(ConfigVersion version, TimePoint now) const;

 private:
  using Actions = std::vector<SpreaderAction>;

  // A node that this one brings up to date.
  struct PeerState {
    std::optional<ConfigPoint> known;  // what it last said it has
    ConfigVersion sent;                // what it was last sent
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
  ConfigVersion relay_version_;  // passed on to the domain's entries up to here
  std::optional<ConfigPoint> applying_;
  SenderState applying_from_;
  std::vector<DeltaStep> applying_steps_;  // none where a whole state is
  std::optional<FullMessage> best_offer_;  // the newest, while settling
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
