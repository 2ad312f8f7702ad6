// The actions of the request machines, and the answers to them.

#include <algorithm>
#include <utility>

#include "libs/scenario/request_host.h"

namespace bilberryspool::scenario {
namespace {

constexpr Duration kMaxTokenAge = Seconds(8);
constexpr Duration kTokenTimeout = Milliseconds(700);
constexpr std::size_t kMaxTokenTries = 3;

NodeId NodeOf(const TargetId& target) {
  return NodeId(target.value());
}

const char* NameOf(attempts::FinalKind kind) {
  switch (kind) {
    case attempts::FinalKind::kAnswered:
      return "answered";
    case attempts::FinalKind::kNotRun:
      return "not run";
    case attempts::FinalKind::kUnknown:
      return "unknown";
  }
  return "";
}

}  // namespace

void RequestHost::Receive(const NodeId& from, const ClaimCall& call) {
  const auto answer = holder_.Claim(call.request, network_.now());
  network_.Send(self_, from,
                RequestReply{call.send, {attempts::ClaimAnswered{answer}}});
}

void RequestHost::Receive(const NodeId& from, const ReleaseCall& call) {
  const auto answer = holder_.Release(call.release, network_.now());
  network_.Send(self_, from,
                RequestReply{call.send, {attempts::ReleaseAnswered{answer}}});
}

void RequestHost::Receive(const NodeId&, const attempts::FinishClaim& finish) {
  holder_.Finish(finish, network_.now());
}

void RequestHost::Receive(const NodeId&, const RequestReply& reply) {
  Beat();
  for (const attempts::RequestEvent& event : reply.events) {
    HandleEvent(reply.send, event);
  }
}

void RequestHost::Receive(const NodeId&, const TokenReply& reply) {
  const TimePoint now = network_.now();
  KnownToken& known = tokens_[reply.target];
  if (!(reply.token < known.token)) {
    known = {reply.token, now};
  }
  if (stall_.Observe(reply.target, reply.token, now)) {
    OnStallDetected();
  }
  const auto pending = choices_.find(reply.send);
  const bool is_awaited =
      pending != choices_.end() && pending->second.target == reply.target;
  if (is_awaited) {
    choices_.erase(pending);
    HandleEvent(reply.send,
                attempts::TargetChosen{reply.target, known.token, false});
  }
}

void RequestHost::Execute(SendId send, const attempts::SendClaim& action) {
  network_.Send(self_, action.holder, ClaimCall{send, action.request});
}

void RequestHost::Execute(SendId send, const attempts::SendRelease& action) {
  network_.Send(self_, action.holder, ReleaseCall{send, action.release});
}

void RequestHost::Execute(SendId, const attempts::SendFinish& action) {
  network_.Send(self_, action.holder, action.finish);
}

void RequestHost::Execute(SendId send, const attempts::Route& action) {
  const CallerRequest& request = request_registry_.send(send).request;
  PendingChoice choice;
  choice.request.service = request.service;
  choice.request.workspace = Workspace("plants");
  choice.request.excluded = action.excluded;
  choice.request.deadline = *request_registry_.send(send).deadline;
  choice.request.own_domain = domain_;
  choice.request.idempotent = request.idempotent;
  Choose(send, std::move(choice));
}

void RequestHost::Choose(SendId send, PendingChoice choice) {
  const routing::Choice chosen = router_.Choose(choice.request, network_.now());
  if (const auto* none = std::get_if<routing::NoTarget>(&chosen)) {
    HandleEvent(send, attempts::NoTarget{none->retry_after});
    return;
  }
  choice.target = std::get<routing::Selected>(chosen).target;
  verdict_.Check(offers(choice.target), self_.value() + " chooses " +
                                            choice.target.value() +
                                            ", which gets no new work");
  const auto token = tokens_.find(choice.target);
  const bool is_fresh =
      token != tokens_.end() &&
      network_.now() - token->second.learned_at < kMaxTokenAge;
  if (is_fresh) {
    HandleEvent(send, attempts::TargetChosen{choice.target, token->second.token,
                                             false});
    return;
  }
  ++choice.tries;
  const TargetId target = choice.target;
  const std::size_t tries = choice.tries;
  choices_[send] = std::move(choice);
  network_.Send(self_, NodeOf(target), TokenCall{send, target});
  network_.After(self_, kTokenTimeout, [this, send, target, tries] {
    OnTokenTimeout(send, target, tries);
  });
}

// The agent did not answer in time. The request was not sent to it, so another
// target can be tried.
void RequestHost::OnTokenTimeout(SendId send,
                                 const TargetId& unresponsive,
                                 std::size_t tries) {
  const auto pending = choices_.find(send);
  const bool is_waiting = pending != choices_.end() &&
                          pending->second.target == unresponsive &&
                          pending->second.tries == tries;
  if (!is_waiting) {
    return;
  }
  PendingChoice choice = std::move(pending->second);
  choices_.erase(pending);
  if (choice.tries >= kMaxTokenTries) {
    HandleEvent(send, attempts::NoTarget{});
    return;
  }
  choice.request.excluded.push_back(unresponsive);
  Choose(send, std::move(choice));
}

void RequestHost::Execute(SendId send, const attempts::SendAttempt& action) {
  const attempts::AttemptRef& attempt = action.start.attempt;
  router_.Handle(
      routing::AttemptStarted{attempt.attempt,
                              attempt.target,
                              request_registry_.send(send).request.service,
                              {}},
      network_.now());
  attempts_[send].push_back(attempt.attempt);
  network_.Send(self_, NodeOf(attempt.target), AttemptCall{send, action.start});
}

void RequestHost::Execute(SendId send, const attempts::RelayChunk& action) {
  request_registry_.send(send).text += action.data;
}

void RequestHost::Execute(SendId send, const attempts::SendSettle& action) {
  const attempts::AttemptRef& attempt = action.request.attempt;
  FinishAttempt(attempt.attempt, routing::AttemptOutcome::kDisconnected);
  network_.Send(self_, NodeOf(attempt.target),
                SettleCall{send, action.request});
}

void RequestHost::Execute(SendId send, const attempts::ResumeAttempt& action) {
  network_.Send(self_, NodeOf(action.attempt.target),
                ResumeCall{send, action.attempt, action.offset});
}

void RequestHost::Execute(SendId send, const attempts::AnswerCaller& action) {
  verdict_.Note(self_, "request " +
                           request_registry_.send(send).request.id.value() +
                           ": " + NameOf(action.kind));
  request_registry_.OnAnswered(send, action, network_.now());
  for (const AttemptId& attempt : attempts_[send]) {
    FinishAttempt(attempt, routing::AttemptOutcome::kCancelled);
  }
  attempts_.erase(send);
  choices_.erase(send);
}

}  // namespace bilberryspool::scenario
