#include "libs/groups/rank_machine.h"

#include <algorithm>
#include <utility>

#include "libs/base/check.h"

namespace bilberryspool::groups {

RankMachine::RankMachine(RankOptions options) : options_(std::move(options)) {}

std::vector<RankAction> RankMachine::Start(TimePoint now) {
  Actions out;
  // An order of the previous process may still be in transit to the engine; the
  // reset makes the engine refuse or undo it.
  out.emplace_back(ResetEngine{});
  last_started_ = now - options_.stall_after;
  SendStatusNow(now, out);
  return out;
}

std::vector<RankAction> RankMachine::Handle(const RankEvent& event,
                                            TimePoint now) {
  Actions out;
  std::visit([&](const auto& each) { On(each, now, out); }, event);
  UpdateState(now, out);
  return out;
}

std::optional<TimePoint> RankMachine::next_deadline() const {
  TimePoint deadline = next_status_;
  if (AwaitsGo()) {
    deadline = std::min(deadline, next_ready_);
  }
  if (running_ && !aborting_) {
    deadline = std::min(deadline, last_started_ + options_.step_timeout);
  }
  if (state_ == GroupState::kServing || state_ == GroupState::kChanging) {
    deadline = std::min(deadline, last_started_ + options_.stall_after);
  }
  return deadline;
}

void RankMachine::On(const EngineReset& event, TimePoint now, Actions& out) {
  engine_reset_ = true;
  resident_.insert(event.resident.begin(), event.resident.end());
  SendStatusNow(now, out);
}

void RankMachine::On(const WeightsFetched& event, TimePoint now, Actions& out) {
  resident_.insert(event.key);
  if (fetching_ == event.key) {
    fetching_.reset();
  }
  SendStatusNow(now, out);
}

void RankMachine::On(const FetchFailed& event, TimePoint now, Actions& out) {
  if (fetching_ == event.key) {
    fetching_.reset();
  }
  SendStatusNow(now, out);
}

void RankMachine::On(const OrderReceived& event, TimePoint now, Actions& out) {
  const bool accepted = std::visit(
      [&](const auto& order) { return Accepts(order.header); }, event.order);
  if (!accepted) {
    return;
  }
  std::visit([&](const auto& order) { Execute(order, now, out); }, event.order);
  SendStatusNow(now, out);
}

void RankMachine::On(const RankTick&, TimePoint now, Actions& out) {
  if (AwaitsGo() && now >= next_ready_) {
    SendReady(now, out);
  }
  const bool overdue = running_ && now - last_started_ >= options_.step_timeout;
  if (overdue) {
    AbortRunningStep(out);
  }
  if (now >= next_status_) {
    SendStatusNow(now, out);
  }
}

// A stale controller that resumes after a freeze assumes that it still holds
// its lease and sends orders; its lower token identifies them. An order to an
// earlier incarnation was made for a rank with weights and promises that are
// unknown to this one.
bool RankMachine::Accepts(const OrderHeader& header) {
  const bool addressed = header.group == options_.group &&
                         header.rank == options_.rank &&
                         header.incarnation == options_.incarnation;
  if (!addressed) {
    return false;
  }
#if !defined(BILBERRYSPOOL_MUTATION_SKIP_FENCING)
  if (header.token < token_) {
    return false;
  }
#endif
  BILBERRYSPOOL_INVARIANT(header.token >= token_,
                          "the fencing token of a rank never goes back");
  if (header.token > token_) {
    token_ = header.token;
    last_grant_ = 0;
  }
  return true;
}

void RankMachine::Execute(const ClaimOrder&, TimePoint, Actions&) {}

void RankMachine::Execute(const PrepareOrder& order, TimePoint, Actions& out) {
  const bool outdated =
      (pending_view_ && order.view.id <= pending_view_->view.id) ||
      (sealed_ && order.view.id <= *sealed_);
  const bool goes_back =
      installed_ && order.view.map_version < installed_->map_version;
  if (outdated || goes_back) {
    return;
  }
  pending_view_ = order;
  DropUnused(out);
}

void RankMachine::Execute(const FetchOrder& order, TimePoint, Actions& out) {
  if (!engine_reset_ || order.grant <= last_grant_) {
    return;
  }
  last_grant_ = order.grant;
  if (fetching_ || resident_.contains(order.key)) {
    return;
  }
  fetching_ = order.key;
  out.emplace_back(FetchWeights{order.key});
}

void RankMachine::Execute(const SealOrder& order, TimePoint, Actions&) {
  const bool matches = pending_view_ && pending_view_->view.id == order.view;
  if (matches && IsPrepared()) {
    sealed_ = order.view;
  }
}

void RankMachine::Execute(const InstallOrder& order,
                          TimePoint now,
                          Actions& out) {
  const bool matches = sealed_ == order.view && pending_view_ &&
                       pending_view_->view.id == order.view;
  const bool done = installed_ && installed_->id == order.view;
  if (!matches || done) {
    return;
  }
  FinishPreviousView(order, now, out);
  BILBERRYSPOOL_INVARIANT(
      !installed_ || pending_view_->view.map_version >= installed_->map_version,
      "the map version of a rank never goes back");
  installed_ = pending_view_->view;
  map_ = pending_view_->map;
  required_experts_ = map_->HeldBy(options_.rank);
  needs_view_ = false;
  last_go_ = 0;
  DropUnused(out);
  PromiseNextStep(now, out);
}

// Peers may be running the last step that all members have promised while this
// rank has missed the go message. If it skipped that step, they would wait in
// it until their timeout.
void RankMachine::FinishPreviousView(const InstallOrder& order,
                                     TimePoint now,
                                     Actions& out) {
  if (!order.finish) {
    AbortRunningStep(out);
    return;
  }
  const bool missed = AwaitsGo() && promised_ == order.finish;
  if (missed) {
    StartPromisedStep(now, out);
  }
}

bool RankMachine::IsPrepared() const {
  if (!pending_view_ || !engine_reset_) {
    return false;
  }
  const std::vector<placement::ExpertKey> needed =
      pending_view_->map->HeldBy(options_.rank);
  return std::all_of(needed.begin(), needed.end(),
                     [&](const auto& key) { return resident_.contains(key); });
}

// Drops the experts that neither the installed view nor the pending one needs.
void RankMachine::DropUnused(Actions& out) {
  DropWeights drop;
  for (const placement::ExpertKey& key : resident_) {
    const bool in_use = map_ && map_->Holds(options_.rank, key);
    const bool wanted =
        pending_view_ && pending_view_->map->Holds(options_.rank, key);
    if (!in_use && !wanted) {
      drop.keys.push_back(key);
    }
  }
  for (const placement::ExpertKey& key : drop.keys) {
    resident_.erase(key);
  }
  if (!drop.keys.empty()) {
    out.emplace_back(std::move(drop));
  }
}

void RankMachine::SendStatusNow(TimePoint now, Actions& out) {
  next_status_ = now + options_.status_interval;
  RankStatus status;
  status.group = options_.group;
  status.rank = options_.rank;
  status.incarnation = options_.incarnation;
  status.sequence = ++status_sequence_;
  status.token = token_;
  if (IsPrepared()) {
    status.prepared = pending_view_->view.id;
  }
  status.sealed = sealed_;
  if (installed_) {
    status.installed = installed_->id;
  }
  status.promised = promised_;
  status.last_grant = last_grant_;
  status.fetching = fetching_.has_value();
  status.usable = engine_reset_ && !aborting_;
  status.needs_view = needs_view_;
  status.state = state_;
  status.last_step = last_step_;
  if (state_ == GroupState::kStalled && IsLeader()) {
    status.awaited = AwaitedRanks();
  }
  if (!status.prepared) {
    status.resident.assign(resident_.begin(), resident_.end());
  }
  out.emplace_back(SendStatus{std::move(status)});
}

void RankMachine::UpdateState(TimePoint now, Actions& out) {
  RankStateChanged change;
  if (!installed_) {
    change = {GroupState::kOut, "no view is installed"};
  } else if (now - last_started_ >= options_.stall_after) {
    change = {GroupState::kStalled, "the members do not agree on a step"};
  } else if (pending_view_->view.id > installed_->id) {
    change = {GroupState::kChanging, "another view is being prepared"};
  } else {
    change = {GroupState::kServing, "steps run"};
  }
  if (change.state != state_) {
    state_ = change.state;
    out.emplace_back(std::move(change));
  }
}

}  // namespace bilberryspool::groups
