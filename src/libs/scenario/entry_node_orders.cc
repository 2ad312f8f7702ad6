// Forwards operators' orders from the entry to the leader.

#include <algorithm>
#include <utility>

#include "libs/scenario/entry_node.h"

namespace bilberryspool::scenario {
namespace {

// The same values as in the program.
constexpr Duration kRetryDelay = Milliseconds(100);
constexpr Duration kCallTimeout = Seconds(2);
constexpr Duration kOrderTimeout = Seconds(10);

}  // namespace

void EntryNode::Order(OrderId order, const config::Command& command) {
  orders_[order] = {command, network_.now() + kOrderTimeout, {}, 0};
  SendOrder(order);
}

// Tries the hinted leader, then each control replica, until one of them leads.
// Sending an order twice is harmless: the second has the same command id and
// gets the outcome of the first.
void EntryNode::SendOrder(OrderId id) {
  PendingOrder& order = orders_.at(id);
  if (network_.now() >= order.deadline) {
    EndOrder(id, std::nullopt);
    return;
  }
  const std::size_t call = ++order.calls;
  const auto retry = [this, id, call] {
    const auto open = orders_.find(id);
    if (open != orders_.end() && open->second.calls == call) {
      SendOrder(id);
    }
  };
  if (leads()) {
    replica_->Propose(order.command, [this, id, call](const auto& answer) {
      On(self_, ProposeReply{id, call, answer});
    });
    network_.After(self_, kCallTimeout, retry);
    return;
  }
  if (order.candidates.empty()) {
    order.candidates = control_members();
    if (leader_hint_.has_value()) {
      order.candidates.push_back(*leader_hint_);
    }
    network_.After(self_, kRetryDelay, retry);
    return;
  }
  const NodeId candidate = order.candidates.back();
  order.candidates.pop_back();
  network_.Send(self_, candidate, ProposeCall{id, call, order.command});
  network_.After(self_, kCallTimeout, retry);
}

void EntryNode::On(const NodeId& from, const ProposeCall& call) {
  if (!leads()) {
    network_.Send(
        self_, from,
        ProposeReply{call.order, call.call, NotLeading{leader_hint_}});
    return;
  }
  replica_->Propose(call.command, [this, from, call](const auto& answer) {
    network_.Send(self_, from, ProposeReply{call.order, call.call, answer});
  });
}

void EntryNode::On(const NodeId&, const ProposeReply& reply) {
  const auto open = orders_.find(reply.order);
  if (open == orders_.end()) {
    return;
  }
  if (const auto* outcome = std::get_if<config::Outcome>(&reply.result)) {
    EndOrder(reply.order, *outcome);
    return;
  }
  // A late or duplicate reply must not start another call.
  if (reply.call != open->second.calls) {
    return;
  }
  if (const auto* other = std::get_if<NotLeading>(&reply.result)) {
    leader_hint_ = other->hint.has_value() ? other->hint : leader_hint_;
    SendOrder(reply.order);
    return;
  }
  // The outcome is unknown. The operator is notified and can resend the same
  // command.
  EndOrder(reply.order, std::nullopt);
}

void EntryNode::EndOrder(OrderId order,
                         const std::optional<config::Outcome>& outcome) {
  orders_.erase(order);
  order_done_(order, outcome);
}

}  // namespace bilberryspool::scenario
