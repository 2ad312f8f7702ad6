// Replica: checks of message headers, terms and epochs, and bootstrap of new
// folders.

#include <algorithm>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/consensus/replica.h"

namespace bilberryspool::consensus {
namespace {

template <typename... Bodies>
bool IsOneOf(const MessageBody& body) {
  return (std::holds_alternative<Bodies>(body) || ...);
}

}  // namespace

bool Replica::AcceptHeader(const Message& message) {
  const bool is_hello = IsOneOf<Hello, HelloReply>(message.body);
  const bool accepts_any_identity =
      is_hello && message.to.identity == ReplicaIdentity(0);
  if (message.to.node != self_.node ||
      (message.to.identity != self_.identity && !accepts_any_identity)) {
    return false;
  }
  if (is_hello) {
    return true;
  }
  if (is_blank()) {
    return AcceptBlank(message);
  }
  if (IsOneOf<PreVoteReply>(message.body) && message.cluster == ClusterId(0)) {
    // An initial voter that has not received the new log yet.
    return true;
  }
  if (message.cluster != hard_state_.cluster) {
    return false;
  }
  if (message.epoch < hard_state_.epoch) {
    Queue(message.from, Superseded{}, SendAfter::kHardState);
    return false;
  }
  if (message.epoch > hard_state_.epoch) {
    Halt(HaltReason::kSuperseded);
    return false;
  }
  return true;
}

bool Replica::AcceptBlank(const Message& message) {
  if (message.cluster == ClusterId(0)) {
    return false;
  }
  if (IsOneOf<PreVote>(message.body)) {
    return true;
  }
  if (!IsOneOf<Vote, Append, InstallSnapshot>(message.body)) {
    return false;
  }
  hard_state_.cluster = message.cluster;
  hard_state_.epoch = message.epoch;
  hard_state_changed_ = true;
  return true;
}

bool Replica::AcceptTerm(const Message& message, TimePoint now) {
  if (IsOneOf<PreVote, Hello, HelloReply>(message.body)) {
    return true;
  }
  if (const auto* vote = std::get_if<Vote>(&message.body)) {
    // The higher term is ignored as well: adopting it would end a valid lease.
    if (!vote->forced && MustHonorLease(now)) {
      return false;
    }
  }
  if (message.term > hard_state_.term) {
    BecomeFollower(message.term, now);
    return true;
  }
  if (IsOneOf<PreVoteReply>(message.body)) {
    return true;
  }
  if (message.term < hard_state_.term) {
    RejectOldTerm(message);
    return false;
  }
  return true;
}

void Replica::RejectOldTerm(const Message& message) {
  if (IsOneOf<Vote>(message.body)) {
    Queue(message.from, VoteReply{false}, SendAfter::kHardState);
  }
  // The reply's term tells the earlier leader that its term has ended.
  if (IsOneOf<Append, InstallSnapshot>(message.body)) {
    Queue(message.from, AppendReply{}, SendAfter::kHardState);
  }
}

void Replica::Halt(HaltReason reason) {
  BecomeFollower(hard_state_.term, TimePoint{});
  role_ = Role::kHalted;
  leader_.reset();
  actions_.push_back(Halted{reason});
}

std::map<NodeId, MemberId> Replica::awaiting_admission(TimePoint now) const {
  std::map<NodeId, MemberId> awaiting;
  for (const auto& [node, sender] : hello_senders_) {
    if (now >= sender.heard_at + options_.hello_lifetime() ||
        log_.membership().Contains(sender.member)) {
      continue;
    }
    awaiting[node] = sender.member;
  }
  return awaiting;
}

void Replica::SendHello(TimePoint now) {
  for (const NodeId& node : bootstrap_.NextHelloRecipients(now)) {
    Queue({node, ReplicaIdentity(0)}, bootstrap_.MakeHello(),
          SendAfter::kHardState);
  }
}

// A replica that was removed from the membership while it was away does not
// learn of it: the leader no longer sends to it. Without a leader's messages it
// therefore asks like a new one; the leader ignores this while it is a member.
void Replica::AskForAdmission(TimePoint now) {
  std::vector<NodeId> members;
  for (const MemberId& id : log_.membership().AllMembers()) {
    members.push_back(id.node);
  }
  bootstrap_.AddPeers(members, now);
  SendHello(now);
}

void Replica::TickBlank(TimePoint now) {
  SendHello(now);
  if (auto membership = bootstrap_.InitialMembership()) {
    BootstrapLog(std::move(*membership), now);
  }
}

void Replica::BootstrapLog(Membership membership, TimePoint now) {
  hard_state_.cluster = ClusterId(1 + random_.Below(UINT64_MAX - 1));
  hard_state_.term = Term(1);
  hard_state_changed_ = true;
  LogEntry entry{LogIndex(1), hard_state_.term, std::move(membership)};
  new_entries_.push_back(entry);
  log_.Append(std::move(entry));
  StartPreVote(now);
}

void Replica::OnBody(const Message& message, const Hello& body, TimePoint now) {
  const bool is_new = message.cluster == ClusterId(0);
  if (is_new) {
    Queue(message.from,
          HelloReply{body.round, is_blank(), options_.initial_voters},
          SendAfter::kHardState);
  }
  // A folder of another log, or of an earlier epoch, can't follow this one.
  const bool can_join = is_new || (message.cluster == hard_state_.cluster &&
                                   message.epoch == hard_state_.epoch);
  if (is_blank() || !can_join) {
    return;
  }
  std::erase_if(hello_senders_, [&](const auto& item) {
    return now >= item.second.heard_at + options_.hello_lifetime();
  });
  hello_senders_[message.from.node] = {message.from, now};
}

void Replica::OnBody(const Message& message,
                     const HelloReply& body,
                     TimePoint now) {
  if (!is_blank()) {
    return;
  }
  HelloReply reply = body;
  std::sort(reply.initial_voters.begin(), reply.initial_voters.end());
  bootstrap_.NoteReply(message.from, reply);
  if (auto membership = bootstrap_.InitialMembership()) {
    BootstrapLog(std::move(*membership), now);
  }
}

void Replica::OnBody(const Message& /*message*/,
                     const Superseded& /*body*/,
                     TimePoint /*now*/) {
  // AcceptHeader() has already halted a replica of an earlier epoch.
}

void Replica::OnBody(const Message& /*message*/,
                     const Regressed& /*body*/,
                     TimePoint /*now*/) {
  Halt(HaltReason::kRegressed);
}

}  // namespace bilberryspool::consensus
