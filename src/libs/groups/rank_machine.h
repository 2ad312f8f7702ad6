// The rank's side of the agreement on one expert map in every step.
//
// Runs in the agent at each rank and is the only sender of orders to its
// engine, so engines that ignore fencing tokens are safe too. Guards against a
// rank that runs a step with another map than its peers: a step starts only
// after all members of the rank's view have reported that they are ready for
// it, and a rank without this confirmation stops. docs/design/map-agreement.md
// explains why this is sufficient.

#ifndef LIBS_GROUPS_RANK_MACHINE_H_
#define LIBS_GROUPS_RANK_MACHINE_H_

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "libs/base/time.h"
#include "libs/groups/rank_event.h"

namespace bilberryspool::groups {

struct RankOptions {
  GroupId group;
  RankIndex rank;
  Incarnation incarnation;
  Duration resend_after = Milliseconds(50);
  Duration status_interval = Milliseconds(200);
  // A rank that has started no step for this long is taken out of routing.
  Duration stall_after = Milliseconds(500);
  // A step that runs longer is aborted, because a peer has died in it.
  Duration step_timeout = Seconds(2);
};

class RankMachine {
 public:
  explicit RankMachine(RankOptions options);

  // Must be called once, before any event.
  std::vector<RankAction> Start(TimePoint now);
  std::vector<RankAction> Handle(const RankEvent& event, TimePoint now);
  std::optional<TimePoint> next_deadline() const;

  GroupState state() const { return state_; }
  // The view whose steps this rank may promise.
  const std::optional<View>& installed() const { return installed_; }
  // The last step started; number 0 before the first.
  StepId last_step() const { return last_step_; }
  FencingToken token() const { return token_; }
  // The latest step for which this rank has reported that it is ready.
  const std::optional<StepId>& promised() const { return promised_; }

 private:
  using Actions = std::vector<RankAction>;

  void On(const EngineReset& event, TimePoint now, Actions& out);
  void On(const WeightsFetched& event, TimePoint now, Actions& out);
  void On(const FetchFailed& event, TimePoint now, Actions& out);
  void On(const StepFinished& event, TimePoint now, Actions& out);
  void On(const StepAborted& event, TimePoint now, Actions& out);
  void On(const OrderReceived& event, TimePoint now, Actions& out);
  void On(const RankMessageReceived& event, TimePoint now, Actions& out);
  void On(const RankTick& event, TimePoint now, Actions& out);

  void Execute(const ClaimOrder& order, TimePoint now, Actions& out);
  void Execute(const PrepareOrder& order, TimePoint now, Actions& out);
  void Execute(const FetchOrder& order, TimePoint now, Actions& out);
  void Execute(const SealOrder& order, TimePoint now, Actions& out);
  void Execute(const InstallOrder& order, TimePoint now, Actions& out);

  void OnReady(const StepReady& message, TimePoint now, Actions& out);
  void OnGo(const StepGo& message, TimePoint now, Actions& out);

  bool Accepts(const OrderHeader& header);
  bool IsPrepared() const;
  bool AwaitsGo() const;
  bool MayPromise() const;
  bool IsLeader() const;
  std::vector<RankIndex> AwaitedRanks() const;
  Member self() const { return {options_.rank, options_.incarnation}; }
  void PromiseNextStep(TimePoint now, Actions& out);
  void SendReady(TimePoint now, Actions& out);
  void MaybeSendGo(TimePoint now, Actions& out);
  void SendGo(Member to, Actions& out) const;
  void StartPromisedStep(TimePoint now, Actions& out);
  void FinishPreviousView(const InstallOrder& order,
                          TimePoint now,
                          Actions& out);
  void AbortRunningStep(Actions& out);
  void UpdateState(TimePoint now, Actions& out);
  void DropUnused(Actions& out);
  void SendStatusNow(TimePoint now, Actions& out);

  RankOptions options_;
  bool engine_reset_ = false;
  FencingToken token_;
  std::set<placement::ExpertKey> resident_;
  std::optional<placement::ExpertKey> fetching_;
  std::uint64_t last_grant_ = 0;

  std::optional<PrepareOrder> pending_view_;
  std::optional<ViewId> sealed_;
  std::optional<View> installed_;
  std::shared_ptr<const placement::ExpertMap> map_;
  // Experts that `map_` places on this rank.
  std::vector<placement::ExpertKey> required_experts_;

  std::optional<StepId> promised_;
  std::optional<StepId> running_;
  bool aborting_ = false;
  bool needs_view_ = false;
  StepId last_step_;

  // As step leader: the latest ready message of each rank, and the last step
  // for which a go message was sent.
  std::map<RankIndex, StepReady> ready_;
  std::uint64_t last_go_ = 0;  // step number in the installed view

  GroupState state_ = GroupState::kOut;
  std::uint64_t status_sequence_ = 0;
  TimePoint next_status_;
  TimePoint next_ready_;
  TimePoint last_started_;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_RANK_MACHINE_H_
