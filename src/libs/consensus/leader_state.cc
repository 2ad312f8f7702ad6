#include "libs/consensus/leader_state.h"

#include <utility>

namespace bilberryspool::consensus {

LeaderState::LeaderState(MemberId self,
                         const ReplicaOptions& options,
                         const LogView& log,
                         TimePoint now)
    : self_(std::move(self)),
      lease_(options.lease_duration()),
      recent_contact_window_(options.election_timeout_max),
      heartbeat_interval_(options.heartbeat_interval),
      transfer_timeout_(options.transfer_timeout),
      catch_up_slack_(options.catch_up_slack),
      started_at_(now),
      heartbeat_at_(now) {
  SyncMembers(log);
}

void LeaderState::SyncMembers(const LogView& log) {
  const Membership& membership = log.membership();
  std::erase_if(progress_, [&](const auto& item) {
    return !membership.Contains(item.first);
  });
  for (const MemberId& id : membership.AllMembers()) {
    if (id == self_) {
      continue;
    }
    progress_.try_emplace(id, log.last_index());
  }
}

Progress* LeaderState::FindProgress(const MemberId& id) {
  const auto found = progress_.find(id);
  return found == progress_.end() ? nullptr : &found->second;
}

LogIndex LeaderState::QuorumMatch(const LogView& log) const {
  return log.membership().QuorumValue<LogIndex>([&](const MemberId& id) {
    if (id == self_) {
      return log.durable_index();
    }
    const auto found = progress_.find(id);
    return found == progress_.end() ? LogIndex(0) : found->second.match();
  });
}

TimePoint LeaderState::QuorumContact(const Membership& membership,
                                     TimePoint now) const {
  return membership.QuorumValue<TimePoint>([&](const MemberId& id) {
    if (id == self_) {
      return now;
    }
    const auto found = progress_.find(id);
    if (found == progress_.end() || !found->second.has_answered()) {
      return TimePoint::min();
    }
    return found->second.acked_sent_at();
  });
}

bool LeaderState::HasLease(const Membership& membership, TimePoint now) const {
  const TimePoint contact = QuorumContact(membership, now);
  return contact != TimePoint::min() && now < contact + lease_;
}

bool LeaderState::HasHealthyQuorum(const Membership& membership,
                                   TimePoint now) const {
  const TimePoint contact = QuorumContact(membership, now);
  return contact != TimePoint::min() && now < contact + recent_contact_window_;
}

bool LeaderState::HasCaughtUp(const MemberId& id,
                              LogIndex last_index,
                              TimePoint now) const {
  const auto found = progress_.find(id);
  if (found == progress_.end() || !found->second.has_answered()) {
    return false;
  }
  const Progress& progress = found->second;
  const bool answered_recently =
      now < progress.acked_sent_at() + recent_contact_window_;
  const bool is_close =
      progress.match().value() + catch_up_slack_ >= last_index.value();
  return answered_recently && is_close && progress.match() > LogIndex(0);
}

void LeaderState::NoteHeartbeat(TimePoint now) {
  heartbeat_at_ = now + heartbeat_interval_;
}

void LeaderState::AddPending(LogIndex index, RequestTicket ticket) {
  pending_.emplace(index, ticket);
}

std::vector<PendingProposal> LeaderState::TakeCommitted(LogIndex commit) {
  std::vector<PendingProposal> committed;
  while (!pending_.empty() && pending_.begin()->first <= commit) {
    const auto& [index, ticket] = *pending_.begin();
    committed.push_back({index, ticket});
    pending_.erase(pending_.begin());
  }
  return committed;
}

std::vector<PendingProposal> LeaderState::TakeAllPending() {
  return TakeCommitted(LogIndex(UINT64_MAX));
}

std::vector<RequestTicket> LeaderState::TakeReads() {
  return std::exchange(reads_, {});
}

}  // namespace bilberryspool::consensus
