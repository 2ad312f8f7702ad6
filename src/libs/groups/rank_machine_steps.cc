// The step barrier: how the members of a view agree to start a step.

#include <algorithm>

#include "libs/base/check.h"
#include "libs/groups/rank_machine.h"

namespace bilberryspool::groups {

void RankMachine::On(const StepFinished& event, TimePoint now, Actions& out) {
  if (running_ != event.step) {
    return;
  }
  running_.reset();
  aborting_ = false;
  PromiseNextStep(now, out);
}

void RankMachine::On(const StepAborted& event, TimePoint now, Actions& out) {
  if (running_ != event.step) {
    return;
  }
  running_.reset();
  aborting_ = false;
  // The peers may have finished this step, so the step count of this view is no
  // longer valid.
  needs_view_ = installed_ && installed_->id == event.step.view;
  SendStatusNow(now, out);
  PromiseNextStep(now, out);
}

void RankMachine::On(const RankMessageReceived& event,
                     TimePoint now,
                     Actions& out) {
  if (const auto* ready = std::get_if<StepReady>(&event.message)) {
    OnReady(*ready, now, out);
  }
  if (const auto* go = std::get_if<StepGo>(&event.message)) {
    OnGo(*go, now, out);
  }
}

bool RankMachine::IsLeader() const {
  return installed_ && installed_->members.front() == self();
}

bool RankMachine::MayPromise() const {
  const bool sealed_off = !installed_ || !sealed_ || *sealed_ != installed_->id;
  return !sealed_off && !running_ && !needs_view_;
}

bool RankMachine::AwaitsGo() const {
  return promised_ && installed_ && promised_->view == installed_->id &&
         last_step_ < *promised_;
}

void RankMachine::PromiseNextStep(TimePoint now, Actions& out) {
  if (!MayPromise() || AwaitsGo()) {
    return;
  }
  const bool first = last_step_.view != installed_->id;
  promised_ = StepId{installed_->id, first ? 1 : last_step_.number + 1};
  SendReady(now, out);
}

void RankMachine::SendReady(TimePoint now, Actions& out) {
  next_ready_ = now + options_.resend_after;
  StepReady ready;
  ready.group = options_.group;
  ready.from = self();
  ready.leader = installed_->members.front();
  ready.step = *promised_;
  ready.map_version = installed_->map_version;
  if (IsLeader()) {
    OnReady(ready, now, out);
    return;
  }
  out.emplace_back(SendToRank{ready.leader.rank, ready});
}

void RankMachine::OnReady(const StepReady& message,
                          TimePoint now,
                          Actions& out) {
  if (message.group != options_.group || message.leader != self()) {
    return;
  }
  StepReady& latest = ready_[message.from.rank];
  if (latest.step < message.step) {
    latest = message;
  }
  if (!IsLeader()) {
    return;
  }
  // The go message to this member was lost.
  const bool repeated =
      message.step.view == installed_->id && message.step.number <= last_go_;
  if (repeated) {
    SendGo(message.from, out);
    return;
  }
  MaybeSendGo(now, out);
}

std::vector<RankIndex> RankMachine::AwaitedRanks() const {
  const StepId step{installed_->id, last_go_ + 1};
  std::vector<RankIndex> awaited;
  for (const Member& member : installed_->members) {
    const auto latest = ready_.find(member.rank);
    const bool ready = latest != ready_.end() &&
                       latest->second.from == member &&
                       latest->second.step == step &&
                       latest->second.map_version == installed_->map_version;
    if (!ready) {
      awaited.push_back(member.rank);
    }
  }
  return awaited;
}

void RankMachine::MaybeSendGo(TimePoint now, Actions& out) {
#if defined(BILBERRYSPOOL_MUTATION_STEP_WITHOUT_ALL)
  const bool all =
      AwaitsGo() && ready_.size() + 1 >= installed_->members.size();
#else
  const bool all = AwaitedRanks().empty();
#endif
  if (!all) {
    return;
  }
  ++last_go_;
  for (const Member& member : installed_->members) {
    if (member != self()) {
      SendGo(member, out);
    }
  }
  StartPromisedStep(now, out);
}

void RankMachine::SendGo(Member to, Actions& out) const {
  StepGo go;
  go.group = options_.group;
  go.to = to;
  go.step = {installed_->id, last_go_};
  go.map_version = installed_->map_version;
  go.ready_members = static_cast<std::uint32_t>(installed_->members.size());
  out.emplace_back(SendToRank{to.rank, go});
}

void RankMachine::OnGo(const StepGo& message, TimePoint now, Actions& out) {
  if (message.group != options_.group || message.to != self() || !AwaitsGo()) {
    return;
  }
  const bool agrees = message.step == *promised_ &&
                      message.map_version == installed_->map_version &&
                      message.ready_members == installed_->members.size();
  if (agrees) {
    StartPromisedStep(now, out);
  }
}

// The only place where a step is started. A rank that ran a step with another
// map than its peers would send tokens to ranks without the expert, and answers
// would be wrong without any error. Therefore the agreement is checked once
// more here.
void RankMachine::StartPromisedStep(TimePoint now, Actions& out) {
  BILBERRYSPOOL_INVARIANT(AwaitsGo() && !running_ && !needs_view_,
                          "a step is started once, and only when promised");
  MapVersion version = installed_->map_version;
#if defined(BILBERRYSPOOL_MUTATION_SWITCH_EARLY)
  if (IsPrepared()) {
    version = pending_view_->view.map_version;
  }
#endif
  BILBERRYSPOOL_INVARIANT(
      promised_->view == installed_->id && version == installed_->map_version,
      "a step uses the map of the view in which it was promised");
  BILBERRYSPOOL_INVARIANT(
      std::all_of(required_experts_.begin(), required_experts_.end(),
                  [&](const auto& key) { return resident_.contains(key); }),
      "the experts of the map are resident when a step starts");
  BILBERRYSPOOL_INVARIANT(last_step_ < *promised_,
                          "the steps of a rank never go back");
  last_step_ = *promised_;
  running_ = last_step_;
  last_started_ = now;
  out.emplace_back(StartStep{last_step_, version, map_});
}

void RankMachine::AbortRunningStep(Actions& out) {
  if (!running_ || aborting_) {
    return;
  }
  aborting_ = true;
  out.emplace_back(AbortStep{*running_});
}

}  // namespace bilberryspool::groups
