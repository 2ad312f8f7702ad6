#include "libs/groups/group_controller.h"

#include <algorithm>
#include <utility>

#include "libs/base/check.h"
#include "libs/placement/map_repair.h"

namespace bilberryspool::groups {
namespace {

// Number of checks for lost ranks per `lost_after` while no change is in
// progress.
constexpr int kChecksPerLossTimeout = 4;

std::vector<RankIndex> RanksOf(const std::vector<Member>& members) {
  std::vector<RankIndex> ranks;
  ranks.reserve(members.size());
  for (const Member& member : members) {
    ranks.push_back(member.rank);
  }
  return ranks;
}

bool FitsSlots(const placement::ExpertMap& map,
               std::uint32_t ranks,
               std::uint32_t slots) {
  std::vector<std::uint32_t> used(ranks);
  for (std::uint32_t layer = 0; layer < map.layers(); ++layer) {
    std::fill(used.begin(), used.end(), 0);
    for (std::uint32_t expert = 0; expert < map.experts(); ++expert) {
      const placement::ExpertKey key{placement::LayerIndex(layer),
                                     ExpertIndex(expert)};
      for (const RankIndex rank : map.holders(key)) {
        if (rank.value() >= ranks || ++used[rank.value()] > slots) {
          return false;
        }
      }
    }
  }
  return true;
}

}  // namespace

GroupController::GroupController(ControllerOptions options)
    : options_(std::move(options)) {}

std::vector<ControllerAction> GroupController::Handle(
    const ControllerEvent& event,
    TimePoint now) {
  Actions out;
  last_event_at_ = now;
  std::visit([&](const auto& each) { On(each, now, out); }, event);
  Advance(now, out);
  return out;
}

std::optional<TimePoint> GroupController::next_deadline() const {
  if (!lease_) {
    return std::nullopt;
  }
  const bool settled = view_ && !change_ && !blocked_reason_;
  const Duration pace = settled ? options_.lost_after / kChecksPerLossTimeout
                                : options_.resend_after;
  return std::min(lease_->until, last_event_at_ + pace);
}

std::optional<ChangePhase> GroupController::phase() const {
  if (!change_) {
    return std::nullopt;
  }
  return change_->phase;
}

void GroupController::On(const LeaseGranted& event, TimePoint now, Actions&) {
  const bool renewal = lease_ && lease_->token == event.token;
  if (renewal) {
    lease_->until = std::max(lease_->until, event.until);
    return;
  }
  if (lease_ && event.token < lease_->token) {
    return;
  }
  lease_ = Lease{event.token, event.until, now};
  record_ = event.record;
  recorded_ = event.record.version;
  view_.reset();
  change_.reset();
  blocked_reason_.reset();
  stalled_since_.reset();
  last_sequence_ = 0;
  last_grant_ = 0;
  budget_.emplace(options_.store, now);
  for (auto& [index, rank] : ranks_) {
    rank.grant.reset();
  }
}

void GroupController::On(const LeaseLost&, TimePoint, Actions&) {
  lease_.reset();
}

void GroupController::On(const MapRecorded& event, TimePoint now, Actions&) {
  recorded_ = std::max(recorded_, event.version);
  const bool awaited = change_ && change_->phase == ChangePhase::kRecording &&
                       change_->view.map_version == event.version;
  if (awaited) {
    change_->phase = ChangePhase::kPreparing;
    change_->send_next = now;
  }
}

void GroupController::On(const MapChosen& event, TimePoint now, Actions& out) {
  if (!HoldsLease(now)) {
    out.emplace_back(MapRefused{"this process does not hold the lease"});
    return;
  }
  const bool same_model = event.map.layers() == record_.chosen.layers() &&
                          event.map.experts() == record_.chosen.experts();
  if (!same_model) {
    out.emplace_back(MapRefused{"the map is for a model of another shape"});
    return;
  }
  if (!event.map.Orphans().empty()) {
    out.emplace_back(MapRefused{"the map leaves an expert without a copy"});
    return;
  }
  if (!FitsSlots(event.map, options_.ranks, options_.slots)) {
    out.emplace_back(MapRefused{"the map needs more slots than ranks have"});
    return;
  }
  if (event.map != record_.chosen) {
    record_.chosen = event.map;
    record_.version = record_.version.Next();
  }
}

// Statuses are ordered within an incarnation. A late status of an earlier
// incarnation describes a process that no longer exists.
void GroupController::On(const StatusReceived& event, TimePoint now, Actions&) {
  const RankStatus& status = event.status;
  const bool known_rank =
      status.group == options_.group && status.rank.value() < options_.ranks;
  if (!known_rank) {
    return;
  }
  const auto [place, is_new] = ranks_.try_emplace(status.rank);
  Rank& rank = place->second;
  const bool restarted = rank.status.incarnation < status.incarnation;
  const bool outdated =
      status.incarnation < rank.status.incarnation ||
      (!restarted && !is_new && status.sequence <= rank.status.sequence);
  if (outdated) {
    return;
  }
  if (is_new || restarted || now - rank.last_status_at >= options_.lost_after) {
    rank.live_since = now;
    rank.was_lost = !is_new;
    rank.claim_next = now;
  }
  if (restarted) {
    rank.grant.reset();
  }
  rank.status = status;
  rank.last_status_at = now;
  const bool grant_done =
      rank.grant && !status.fetching &&
      status.token == (lease_ ? lease_->token : status.token) &&
      status.last_grant >= rank.grant->number;
  if (grant_done) {
    rank.grant.reset();
  }
}

void GroupController::On(const ControllerTick&, TimePoint, Actions&) {}

void GroupController::Advance(TimePoint now, Actions& out) {
  // A process that resumes after a freeze reads the time before it acts and
  // finds its lease expired. Without this check it would send one more round of
  // orders.
  if (!HoldsLease(now)) {
    lease_.reset();
    change_.reset();
    view_.reset();
    // Emits no action: without the lease, this process no longer reports the
    // group's state.
    state_ = GroupState::kOut;
    why_ = "no lease";
    return;
  }
  ClaimRanks(now, out);
  if (Settled(now)) {
    ExcludeAwaited(now);
    Reconcile(now);
    DriveChange(now, out);
  }
  UpdateState(now, out);
}

bool GroupController::IsLive(const Rank& rank, TimePoint now) const {
  return now - rank.last_status_at < options_.lost_after;
}

bool GroupController::IsInView(const Rank& rank) const {
  const Member member{rank.status.rank, rank.status.incarnation};
  return view_ && std::binary_search(view_->members.begin(),
                                     view_->members.end(), member);
}

bool GroupController::IsEligible(const Rank& rank, TimePoint now) const {
  // A rank that returns before a view without it was installed needs no wait.
  const bool waited = !rank.was_lost || IsInView(rank) ||
                      now - rank.live_since >= options_.rejoin_after;
  return IsLive(rank, now) && waited && now >= rank.excluded_until &&
         rank.status.usable && rank.status.token == lease_->token;
}

// After a lease is granted, ranks get time to answer the first claim, so that a
// healthy group is not reduced to the ranks that answered first.
bool GroupController::Settled(TimePoint now) const {
  if (now - lease_->since >= options_.lost_after) {
    return true;
  }
  return EligibleMembers(now).size() == options_.ranks;
}

std::vector<Member> GroupController::EligibleMembers(TimePoint now) const {
  std::vector<Member> members;
  for (const auto& [index, rank] : ranks_) {
    if (IsEligible(rank, now)) {
      members.push_back({index, rank.status.incarnation});
    }
  }
  return members;
}

const GroupController::Rank* GroupController::Find(const Member& member) const {
  const auto place = ranks_.find(member.rank);
  const bool found = place != ranks_.end() &&
                     place->second.status.incarnation == member.incarnation;
  return found ? &place->second : nullptr;
}

bool GroupController::AnyLost(const std::vector<Member>& members,
                              TimePoint now) const {
  return std::any_of(members.begin(), members.end(), [&](const Member& member) {
    const Rank* rank = Find(member);
    return rank == nullptr || !IsLive(*rank, now) || !rank->status.usable;
  });
}

bool GroupController::NeedsView(const View& view) const {
  return std::any_of(
      view.members.begin(), view.members.end(), [&](const Member& member) {
        const Rank* rank = Find(member);
        return rank != nullptr && rank->status.installed == view.id &&
               rank->status.needs_view;
      });
}

bool GroupController::AnyStalled(const View& view) const {
  return std::any_of(
      view.members.begin(), view.members.end(), [&](const Member& member) {
        const Rank* rank = Find(member);
        return rank != nullptr && rank->status.installed == view.id &&
               rank->status.state == GroupState::kStalled;
      });
}

// Ranks that reach the controller may not reach each other. No rank is lost
// then, and without the exclusion the group would wait for its missing member
// forever.
void GroupController::ExcludeAwaited(TimePoint now) {
  const bool stalled =
      view_ && !change_ && !AnyLost(view_->members, now) && AnyStalled(*view_);
  if (!stalled) {
    stalled_since_.reset();
    return;
  }
  if (!stalled_since_) {
    stalled_since_ = now;
  }
  if (now - *stalled_since_ < options_.exclude_after) {
    return;
  }
  stalled_since_.reset();
  const RankIndex leader = view_->members.front().rank;
  std::vector<RankIndex> excluded = ranks_.at(leader).status.awaited;
  // If the leader waits for half of the members or more, the leader itself is
  // cut off.
  if (excluded.empty() || excluded.size() * 2 >= view_->members.size()) {
    excluded = {leader};
  }
  for (const RankIndex rank : excluded) {
    ranks_[rank].excluded_until = now + options_.exclusion_time;
  }
}

const std::optional<placement::ExpertMap>& GroupController::DesiredMap(
    const std::vector<Member>& members) {
  const bool known = desired_map_ && desired_map_->members == members &&
                     desired_map_->chosen == record_.chosen;
  if (!known) {
    const std::vector<RankIndex> ranks = RanksOf(members);
    desired_map_ = DesiredMapCache{
        members, record_.chosen,
        placement::RepairOrphans(record_.chosen.RestrictedTo(ranks), ranks,
                                 options_.slots)};
  }
  return desired_map_->map;
}

bool GroupController::IsDesired(const View& view,
                                const std::vector<Member>& members) const {
  return view.members == members && view.map_version == record_.version;
}

// Determines the desired view and begins a change if the current one differs.
void GroupController::Reconcile(TimePoint now) {
  blocked_reason_.reset();
  std::vector<Member> members = EligibleMembers(now);
  // Any two views of a group must share a rank; otherwise both could run steps
  // at the same time.
  if (members.size() * 2 <= options_.ranks) {
    blocked_reason_ = "no more than half of the ranks are there";
    change_.reset();
    return;
  }
  const std::optional<placement::ExpertMap>& map = DesiredMap(members);
  if (!map) {
    blocked_reason_ = "the ranks that are left can't hold every expert";
    change_.reset();
    return;
  }
  const bool same_map = *map == record_.in_force;
  if (change_) {
    const bool is_desired = same_map && IsDesired(change_->view, members);
    if (is_desired || !MayReplaceChange(now)) {
      return;
    }
  } else if (view_) {
    const bool is_desired = same_map && IsDesired(*view_, members);
    if (is_desired && !NeedsView(*view_)) {
      return;
    }
  }
  BeginChange(std::move(members), *map, now);
}

// A later request supersedes a change that is still being prepared. Once ranks
// have been told to stop promising steps, completing the change takes less time
// than reverting it, unless a member is lost.
bool GroupController::MayReplaceChange(TimePoint now) const {
  const bool preparing = change_->phase == ChangePhase::kRecording ||
                         change_->phase == ChangePhase::kPreparing;
  return preparing || AnyLost(change_->view.members, now);
}

void GroupController::BeginChange(std::vector<Member> members,
                                  const placement::ExpertMap& map,
                                  TimePoint now) {
  if (map != record_.in_force) {
    record_.version = record_.version.Next();
    record_.in_force = map;
  }
  Change change;
  change.view.id = {lease_->token, ++last_sequence_};
  change.view.members = std::move(members);
  change.view.map_version = record_.version;
  const bool recorded = recorded_ == record_.version;
  change.phase = recorded ? ChangePhase::kPreparing : ChangePhase::kRecording;
  change.map = std::make_shared<const placement::ExpertMap>(map);
  for (const Member& member : change.view.members) {
    change.held[member.rank] = map.HeldBy(member.rank);
  }
  change.send_next = now;
  change_ = std::move(change);
}

void GroupController::UpdateState(TimePoint now, Actions& out) {
  const bool steps_run =
      view_ && !AnyLost(view_->members, now) && !AnyStalled(*view_);
  if (blocked_reason_) {
    ChangeState(GroupState::kOut, *blocked_reason_, out);
  } else if (steps_run && !change_) {
    ChangeState(GroupState::kServing, "steps run", out);
  } else if (steps_run) {
    ChangeState(GroupState::kChanging, "another view is being arranged", out);
  } else if (view_) {
    ChangeState(GroupState::kStalled, "a member is lost or not heard", out);
  } else {
    ChangeState(GroupState::kOut, "no view is installed yet", out);
  }
}

void GroupController::ChangeState(GroupState state,
                                  std::string why,
                                  Actions& out) {
  if (state == state_ && why == why_) {
    return;
  }
  state_ = state;
  why_ = std::move(why);
  out.emplace_back(GroupStateChanged{state_, why_});
}

}  // namespace bilberryspool::groups
