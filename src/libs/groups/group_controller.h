// The controller of one group: brings all its ranks to one map.
//
// A lease and a fencing token from the replicated configuration ensure that
// there is only one. Guards against a group whose ranks hold different maps or
// member sets for long: messages may be lost, duplicated or late, so the
// controller repeats the order of the current phase until the status of every
// member confirms it. When a member is lost, it starts over with the remaining
// ranks. docs/design/map-agreement.md describes the phases.

#ifndef LIBS_GROUPS_GROUP_CONTROLLER_H_
#define LIBS_GROUPS_GROUP_CONTROLLER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/groups/controller_event.h"
#include "libs/groups/fetch_budget.h"

namespace bilberryspool::groups {

struct ControllerOptions {
  GroupId group;
  std::uint32_t ranks = 0;
  std::uint32_t slots = 0;  // experts that a rank can hold in one layer
  double expert_bytes = 1;
  FetchBudgetOptions store;
  Duration resend_after = Milliseconds(50);
  // A rank without a status for this long is lost. At least two status
  // intervals.
  Duration lost_after = Milliseconds(700);
  // A lost rank becomes eligible again after it has sent statuses for this
  // long, so that a flapping rank does not keep the group changing.
  Duration rejoin_after = Seconds(2);
  // A view whose steps don't start for this long, although all its members are
  // live, is replaced by one without the members that its leader waits for.
  Duration exclude_after = Seconds(2);
  // How long such a member stays excluded.
  Duration exclusion_time = Seconds(20);
};

enum class ChangePhase { kRecording, kPreparing, kSealing, kInstalling };

class GroupController {
 public:
  explicit GroupController(ControllerOptions options);

  std::vector<ControllerAction> Handle(const ControllerEvent& event,
                                       TimePoint now);
  std::optional<TimePoint> next_deadline() const;

  GroupState state() const { return state_; }
  const std::string& why() const { return why_; }
  // The view that all its members have installed.
  const std::optional<View>& view() const { return view_; }
  // Empty while no change is under way.
  std::optional<ChangePhase> phase() const;
  // Number of experts that members of the change still have to fetch.
  std::size_t pending_fetches() const;
  const MapRecord& record() const { return record_; }

 private:
  using Actions = std::vector<ControllerAction>;

  struct Lease {
    FencingToken token;
    TimePoint until;
    TimePoint since;
  };
  struct Grant {
    std::uint64_t number = 0;
    placement::ExpertKey key;
    TimePoint send_next;
  };
  struct Rank {
    RankStatus status;
    TimePoint last_status_at;
    TimePoint live_since;  // no gap of `lost_after` since then
    bool was_lost = false;
    TimePoint claim_next;
    TimePoint excluded_until;
    std::optional<Grant> grant;
  };
  struct Change {
    View view;
    std::shared_ptr<const placement::ExpertMap> map;
    std::map<RankIndex, std::vector<placement::ExpertKey>> held;
    ChangePhase phase = ChangePhase::kRecording;
    TimePoint send_next;
    std::optional<StepId> finish;  // set when kInstalling is entered
  };

  // `record_.chosen` adapted to these members; cached because computing it is
  // expensive.
  struct DesiredMapCache {
    std::vector<Member> members;
    placement::ExpertMap chosen;
    std::optional<placement::ExpertMap> map;
  };

  void On(const LeaseGranted& event, TimePoint now, Actions& out);
  void On(const LeaseLost& event, TimePoint now, Actions& out);
  void On(const MapRecorded& event, TimePoint now, Actions& out);
  void On(const MapChosen& event, TimePoint now, Actions& out);
  void On(const StatusReceived& event, TimePoint now, Actions& out);
  void On(const ControllerTick& event, TimePoint now, Actions& out);

  bool HoldsLease(TimePoint now) const { return lease_ && now < lease_->until; }
  void Advance(TimePoint now, Actions& out);
  void ClaimRanks(TimePoint now, Actions& out);
  bool Settled(TimePoint now) const;
  bool IsLive(const Rank& rank, TimePoint now) const;
  bool IsInView(const Rank& rank) const;
  bool IsEligible(const Rank& rank, TimePoint now) const;
  std::vector<Member> EligibleMembers(TimePoint now) const;
  const Rank* Find(const Member& member) const;
  bool AnyStalled(const View& view) const;
  bool AnyLost(const std::vector<Member>& members, TimePoint now) const;
  bool NeedsView(const View& view) const;

  void Reconcile(TimePoint now);
  const std::optional<placement::ExpertMap>& DesiredMap(
      const std::vector<Member>& members);
  bool IsDesired(const View& view, const std::vector<Member>& members) const;
  void ExcludeAwaited(TimePoint now);
  bool MayReplaceChange(TimePoint now) const;
  void BeginChange(std::vector<Member> members,
                   const placement::ExpertMap& map,
                   TimePoint now);
  void DriveChange(TimePoint now, Actions& out);
  bool PhaseDone() const;
  void EnterNextPhase(TimePoint now);
  void SendPhaseOrders(Actions& out);
  std::optional<Order> PhaseOrder(const Rank& rank) const;
  std::optional<StepId> StepToFinish() const;
  void GrantFetches(TimePoint now, Actions& out);
  void GrantNextFetch(Rank& rank, TimePoint now, Actions& out);
  std::optional<placement::ExpertKey> NextMissing(const Rank& rank) const;
  double OutstandingBytes() const;
  OrderHeader HeaderFor(const Rank& rank) const;
  void UpdateState(TimePoint now, Actions& out);
  void ChangeState(GroupState state, std::string why, Actions& out);

  ControllerOptions options_;
  std::optional<Lease> lease_;
  TimePoint last_event_at_;
  MapRecord record_;
  MapVersion recorded_;  // the version that the configuration has accepted
  std::map<RankIndex, Rank> ranks_;
  std::optional<View> view_;
  std::optional<Change> change_;
  std::optional<DesiredMapCache> desired_map_;
  std::optional<TimePoint> stalled_since_;
  std::optional<std::string> blocked_reason_;  // why no view can be formed
  std::uint64_t last_sequence_ = 0;
  std::uint64_t last_grant_ = 0;
  std::optional<FetchBudget> budget_;
  GroupState state_ = GroupState::kOut;
  std::string why_ = "no lease";
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_GROUP_CONTROLLER_H_
