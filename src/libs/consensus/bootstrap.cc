#include "libs/consensus/bootstrap.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bilberryspool::consensus {

namespace {

// A peer that was learned counts for this many intervals of Hello messages.
constexpr int kLearnedPeerIntervals = 50;

}  // namespace

Bootstrap::Bootstrap(const ReplicaOptions& options, MemberId self)
    : self_(std::move(self)),
      initial_voters_(options.initial_voters),
      interval_(options.hello_interval) {
  std::sort(initial_voters_.begin(), initial_voters_.end());
  std::set<NodeId> peers(initial_voters_.begin(), initial_voters_.end());
  peers.insert(options.known_peers.begin(), options.known_peers.end());
  peers.erase(self_.node);
  peers_.assign(peers.begin(), peers.end());
}

void Bootstrap::AddPeers(const std::vector<NodeId>& peers, TimePoint now) {
  for (const NodeId& peer : peers) {
    learned_peers_[peer] = now;
  }
  learned_peers_.erase(self_.node);
}

std::vector<NodeId> Bootstrap::NextHelloRecipients(TimePoint now) {
  if (now < next_hello_at_) {
    return {};
  }
  next_hello_at_ = now + interval_;
  ++round_;
  blank_peers_.clear();
  std::erase_if(learned_peers_, [&](const auto& item) {
    return now > item.second + kLearnedPeerIntervals * interval_;
  });
  std::set<NodeId> recipients(peers_.begin(), peers_.end());
  for (const auto& [peer, learned_at] : learned_peers_) {
    recipients.insert(peer);
  }
  return {recipients.begin(), recipients.end()};
}

Hello Bootstrap::MakeHello() const {
  return {round_, initial_voters_};
}

void Bootstrap::NoteReply(const MemberId& from, const HelloReply& reply) {
  if (!reply.blank) {
    existing_log_found_ = true;
    return;
  }
  if (reply.round == round_ && reply.initial_voters == initial_voters_) {
    blank_peers_[from.node] = from;
  }
}

std::optional<Membership> Bootstrap::InitialMembership() const {
  if (existing_log_found_ || initial_voters_.empty() ||
      initial_voters_.front() != self_.node || round_ == 0) {
    return std::nullopt;
  }
  Membership membership;
  membership.voters.push_back(self_);
  for (const NodeId& node : initial_voters_) {
    if (node == self_.node) {
      continue;
    }
    const auto blank = blank_peers_.find(node);
    if (blank == blank_peers_.end()) {
      return std::nullopt;
    }
    membership.voters.push_back(blank->second);
  }
  return membership;
}

}  // namespace bilberryspool::consensus
