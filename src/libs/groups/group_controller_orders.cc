// The messages that the controller sends: claims, the orders of each phase and
// fetch grants.

#include <algorithm>
#include <utility>

#include "libs/base/check.h"
#include "libs/base/overloaded.h"
#include "libs/groups/group_controller.h"

namespace bilberryspool::groups {

OrderHeader GroupController::HeaderFor(const Rank& rank) const {
  return {options_.group, rank.status.rank, rank.status.incarnation,
          lease_->token};
}

void GroupController::ClaimRanks(TimePoint now, Actions& out) {
  for (auto& [index, rank] : ranks_) {
    const bool due = rank.status.token < lease_->token && IsLive(rank, now) &&
                     now >= rank.claim_next;
    if (!due) {
      continue;
    }
    rank.claim_next = now + options_.resend_after;
    out.emplace_back(SendOrder{index, ClaimOrder{HeaderFor(rank)}});
  }
}

void GroupController::DriveChange(TimePoint now, Actions& out) {
  if (change_ && AnyLost(change_->view.members, now)) {
    return;
  }
  while (change_ && PhaseDone()) {
    EnterNextPhase(now);
  }
  if (!change_) {
    return;
  }
  if (change_->phase == ChangePhase::kPreparing) {
    GrantFetches(now, out);
  }
  if (now >= change_->send_next) {
    change_->send_next = now + options_.resend_after;
    SendPhaseOrders(out);
  }
}

bool GroupController::PhaseDone() const {
  const ViewId id = change_->view.id;
  const ChangePhase phase = change_->phase;
  const auto is_done = [&](const Member& member) {
    const Rank* rank = Find(member);
    switch (phase) {
      case ChangePhase::kRecording:
        return false;
      case ChangePhase::kPreparing:
        return rank->status.prepared == id;
      case ChangePhase::kSealing:
        return rank->status.sealed == id;
      case ChangePhase::kInstalling:
        return rank->status.installed == id;
    }
    return false;
  };
  return std::all_of(change_->view.members.begin(), change_->view.members.end(),
                     is_done);
}

void GroupController::EnterNextPhase(TimePoint now) {
  change_->send_next = now;
  switch (change_->phase) {
    case ChangePhase::kRecording:
      break;
    case ChangePhase::kPreparing:
      change_->phase = ChangePhase::kSealing;
      break;
    case ChangePhase::kSealing:
      change_->finish = StepToFinish();
      change_->phase = ChangePhase::kInstalling;
      break;
    case ChangePhase::kInstalling:
      view_ = change_->view;
      change_.reset();
      break;
  }
}

// Returns nullopt if a member of the previous view is not in the new one,
// because it is unknown whether that member has promised a step.
std::optional<StepId> GroupController::StepToFinish() const {
  if (!view_) {
    return std::nullopt;
  }
  std::optional<StepId> finish;
  for (const Member& member : view_->members) {
    const Rank* rank = Find(member);
    const bool counted = std::binary_search(
        change_->view.members.begin(), change_->view.members.end(), member);
    if (!counted || rank == nullptr || !rank->status.promised ||
        rank->status.promised->view != view_->id || rank->status.needs_view) {
      return std::nullopt;
    }
    const StepId promised = *rank->status.promised;
    finish = finish ? std::min(*finish, promised) : promised;
  }
  return finish;
}

std::optional<Order> GroupController::PhaseOrder(const Rank& rank) const {
  const OrderHeader header = HeaderFor(rank);
  const ViewId id = change_->view.id;
  switch (change_->phase) {
    case ChangePhase::kRecording:
      return std::nullopt;
    case ChangePhase::kPreparing:
      return PrepareOrder{header, change_->view, change_->map};
    case ChangePhase::kSealing:
      return SealOrder{header, id};
    case ChangePhase::kInstalling:
      return InstallOrder{header, id, change_->finish};
  }
  return std::nullopt;
}

void GroupController::SendPhaseOrders(Actions& out) {
  if (change_->phase == ChangePhase::kRecording) {
    out.emplace_back(RecordMap{lease_->token, record_});
    return;
  }
  for (const Member& member : change_->view.members) {
    const Rank* rank = Find(member);
    BILBERRYSPOOL_INVARIANT(rank != nullptr, "orders go only to known members");
    std::optional<Order> order = PhaseOrder(*rank);
    if (order) {
      out.emplace_back(SendOrder{member.rank, std::move(*order)});
    }
  }
}

std::size_t GroupController::pending_fetches() const {
  std::size_t pending = 0;
  if (!change_) {
    return pending;
  }
  for (const Member& member : change_->view.members) {
    const Rank* rank = Find(member);
    if (rank == nullptr) {
      continue;
    }
    if (rank->status.prepared == change_->view.id) {
      continue;
    }
    const auto& resident = rank->status.resident;
    for (const placement::ExpertKey& key : change_->held.at(member.rank)) {
      if (!std::binary_search(resident.begin(), resident.end(), key)) {
        ++pending;
      }
    }
  }
  return pending;
}

void GroupController::GrantFetches(TimePoint now, Actions& out) {
  for (const Member& member : change_->view.members) {
    Rank& rank = ranks_.at(member.rank);
    if (!rank.grant) {
      GrantNextFetch(rank, now, out);
      continue;
    }
    if (now < rank.grant->send_next) {
      continue;
    }
    rank.grant->send_next = now + options_.resend_after;
    out.emplace_back(SendOrder{
        member.rank,
        FetchOrder{HeaderFor(rank), rank.grant->number, rank.grant->key}});
  }
}

// Bounds the bytes of unanswered grants in addition to the rate: grants that
// were delayed in transit could otherwise all be used at the same moment.
void GroupController::GrantNextFetch(Rank& rank, TimePoint now, Actions& out) {
  if (rank.status.fetching || rank.status.prepared == change_->view.id) {
    return;
  }
  const std::optional<placement::ExpertKey> key = NextMissing(rank);
  if (!key) {
    return;
  }
  const double outstanding = OutstandingBytes() + options_.expert_bytes;
  if (outstanding > options_.store.burst_bytes ||
      !budget_->Take(options_.expert_bytes, now)) {
    return;
  }
  rank.grant = Grant{++last_grant_, *key, now + options_.resend_after};
  out.emplace_back(SendOrder{rank.status.rank,
                             FetchOrder{HeaderFor(rank), last_grant_, *key}});
}

std::optional<placement::ExpertKey> GroupController::NextMissing(
    const Rank& rank) const {
  const auto& resident = rank.status.resident;
  for (const placement::ExpertKey& key : change_->held.at(rank.status.rank)) {
    if (!std::binary_search(resident.begin(), resident.end(), key)) {
      return key;
    }
  }
  return std::nullopt;
}

double GroupController::OutstandingBytes() const {
  double bytes = 0;
  for (const auto& [index, rank] : ranks_) {
    if (rank.grant) {
      bytes += options_.expert_bytes;
    }
  }
  return bytes;
}

}  // namespace bilberryspool::groups
