#include "libs/attempts/request_machine.h"

#include <algorithm>
#include <utility>

#include "libs/base/check.h"
#include "libs/base/overloaded.h"

namespace bilberryspool::attempts {
namespace {

AttemptId MakeAttemptId(const Claimant& claimant, std::size_t number) {
  return AttemptId(claimant.entry.value() + "-" +
                   std::to_string(claimant.incarnation.value()) + "-" +
                   std::to_string(claimant.number.value()) + "-" +
                   std::to_string(number));
}

}  // namespace

RequestMachine::RequestMachine(RequestMachineOptions options, RequestSpec spec)
    : options_(options),
      spec_(std::move(spec)),
      claim_(spec_.key, spec_.fingerprint, spec_.claimant, spec_.holders),
      stream_(options.max_kept_body_bytes) {}

std::vector<RequestAction> RequestMachine::Handle(const RequestEvent& event,
                                                  TimePoint now) {
  if (done() || !Expects(event)) {
    ++dropped_events_;
    return {};
  }
  // Evaluated before the deadline check: a request on a stalled entry has
  // usually missed its deadline, and its final answer depends on `stalled_`.
  stalled_ = stalled_ || std::holds_alternative<EntryStalled>(event);
  if (now >= spec_.deadline) {
    // Checked before the event is handled: a request that was delayed past its
    // deadline must not start work.
    GiveUpAtOnce(FinalReason::kDeadline, options_.default_retry);
  } else {
    std::visit([&](const auto& what) { On(what, now); }, event);
  }
  return std::exchange(actions_, {});
}

std::optional<TimePoint> RequestMachine::next_deadline() const {
  if (done()) {
    return std::nullopt;
  }
  return std::min(timer_.value_or(spec_.deadline), spec_.deadline);
}

bool RequestMachine::Expects(const RequestEvent& event) const {
  const AttemptId* attempt = AttemptOf(event);
  if (attempt == nullptr) {
    return true;
  }
  if (!attempt_.has_value() || attempt_->attempt != *attempt) {
    return false;
  }
  const bool own = state_ == State::kAttempting || state_ == State::kSettling;
  const bool answers_question =
      std::holds_alternative<SettleAnswered>(event) ||
      std::holds_alternative<SettleUnreachable>(event);
  return own || (state_ == State::kLookingUp && answers_question);
}

void RequestMachine::On(const RequestStarted&, TimePoint) {
  if (state_ != State::kNew) {
    return;
  }
  stalled_ = spec_.may_predate_stall;
  StartRouting();
}

void RequestMachine::On(const TargetChosen& event, TimePoint now) {
  if (state_ != State::kRouting) {
    ++dropped_events_;
    return;
  }
  // A new id even if the previous attempt was never sent: other sends ask about
  // an attempt by its id, and a late answer about one must not be attributed to
  // the other.
  ++issued_attempt_ids_;
  attempt_ = AttemptRef{MakeAttemptId(spec_.claimant, issued_attempt_ids_),
                        event.target, event.token};
  can_continue_ = event.can_continue;
  if (spec_.idempotent) {
    SendOwnAttempt(now);
    return;
  }
  StartClaim(now);
}

void RequestMachine::On(const NoTarget& event, TimePoint now) {
  if (state_ != State::kRouting) {
    ++dropped_events_;
    return;
  }
  attempt_.reset();
  no_target_retry_ = event.retry_after;
  if (spec_.idempotent || (spec_.first_send && !takeover_.has_value())) {
    GiveUp(FinalReason::kNoTarget, no_target_retry_, now);
    return;
  }
  // An earlier send of the id may have run; only the holders know.
  StartClaim(now);
}

void RequestMachine::On(const ClaimAnswered& event, TimePoint now) {
  if (state_ != State::kClaiming || !claim_.Handle(event.answer)) {
    ++dropped_events_;
    return;
  }
  EvaluateClaim(false, now);
}

void RequestMachine::On(const HolderUnreachable& event, TimePoint now) {
  const ClaimAbstained no_vote{AbstainReason::kStopped, Duration{}};
  On(ClaimAnswered{{spec_.key, spec_.claimant, event.round, event.holder,
                    no_vote}},
     now);
}

void RequestMachine::On(const HoldersChanged& event, TimePoint now) {
  const bool is_awaited = state_ == State::kClaiming && awaits_roster_;
  // A claim that is in progress or decided stays with the holders that were
  // asked.
  if (is_awaited || state_ == State::kNew || state_ == State::kRouting) {
    claim_.SetHolders(event.holders);
  }
  if (is_awaited) {
    StartClaim(now);
  }
}

void RequestMachine::On(const ReleaseAnswered& event, TimePoint now) {
  if (state_ != State::kClosing || !claim_.Handle(event.answer)) {
    ++dropped_events_;
    return;
  }
  EvaluateClosing(now >= claim_deadline_);
}

void RequestMachine::On(const AttemptAlive&, TimePoint now) {
  RecordAttemptLiveness(now);
}

void RequestMachine::On(const AttemptRefused& event, TimePoint now) {
  if (event.proven) {
    // An expired or foreign token, or a full record table, is no fault of the
    // target.
    const bool stale_token = event.reason == RefusalReason::kExpiredToken ||
                             event.reason == RefusalReason::kOtherIncarnation ||
                             event.reason == RefusalReason::kMemoryFull;
    // An expired token that this entry considered valid shows that its clock
    // was stalled.
    stalled_ = stalled_ || event.reason == RefusalReason::kExpiredToken;
    OnProvenNotRun(!stale_token, event.retry_after, now);
    return;
  }
  OnAttemptLost(FinalReason::kTargetLost, now);
}

void RequestMachine::On(const AttemptHead& event, TimePoint now) {
  if (!head_relayed_) {
    status_ = event.status;
  }
  RecordAttemptLiveness(now);
}

void RequestMachine::On(const AttemptChunk& event, TimePoint now) {
  Relay(event.offset, event.data, now);
}

void RequestMachine::On(const AttemptFinished& event, TimePoint now) {
  if (event.size != stream_.relayed()) {
    // A part is missing: the caller has not received the complete answer.
    StartSettling(now);
    return;
  }
  Complete();
}

void RequestMachine::On(const AttemptFailed&, TimePoint now) {
  OnAttemptLost(FinalReason::kFailedByTarget, now);
}

void RequestMachine::On(const LinkLost&, TimePoint now) {
  if (state_ != State::kAttempting) {
    return;
  }
  if (MayRetry() && stream_.relayed() == 0) {
    OnAttemptLost(FinalReason::kTargetLost, now);
    return;
  }
  StartSettling(now);
}

void RequestMachine::On(const SettleAnswered& event, TimePoint now) {
  if (state_ == State::kLookingUp) {
    OnLookedUp(event.answer.state, now);
    return;
  }
  if (state_ != State::kSettling) {
    ++dropped_events_;
    return;
  }
  OnSettled(event.answer.state, now);
}

void RequestMachine::On(const SettleUnreachable&, TimePoint now) {
  // The timer repeats the request; a single failed call proves nothing.
  static_cast<void>(now);
}

void RequestMachine::On(const CallerDisconnected&, TimePoint now) {
  caller_disconnected_ = true;
  const bool in_progress =
      state_ == State::kAttempting || state_ == State::kSettling;
  if (!spec_.idempotent && in_progress) {
    // The attempt continues, so that a resend gets this answer.
    return;
  }
  GiveUp(FinalReason::kInProgress, Duration{}, now);
}

void RequestMachine::On(const EntryStalled&, TimePoint now) {
  const bool unsent = state_ == State::kRouting || state_ == State::kClaiming;
  if (!spec_.idempotent && unsent) {
    GiveUp(FinalReason::kEntryStalled, Duration{}, now);
  }
}

void RequestMachine::On(const StopDeadlineReached&, TimePoint) {
  GiveUpAtOnce(FinalReason::kStopping, options_.default_retry);
}

void RequestMachine::On(const RequestTick&, TimePoint now) {
  if (!timer_.has_value() || now < *timer_) {
    return;
  }
  switch (state_) {
    case State::kClaiming:
      if (now >= claim_deadline_) {
        EvaluateClaim(true, now);
        return;
      }
      RequestMissingVotes(now);
      return;
    case State::kAttempting:
      On(LinkLost{attempt_->attempt}, now);
      return;
    case State::kSettling:
    case State::kLookingUp:
      OnSettleTimer(now);
      return;
    case State::kClosing:
      if (now >= claim_deadline_) {
        EvaluateClosing(true);
        return;
      }
      Release(true);
      timer_ = std::min(now + options_.claim_resend, claim_deadline_);
      return;
    case State::kNew:
    case State::kRouting:
    case State::kDone:
      return;
  }
}

void RequestMachine::StartRouting() {
  if (stalled_ && !spec_.idempotent) {
    GiveUpAtOnce(FinalReason::kEntryStalled, Duration{});
    return;
  }
  state_ = State::kRouting;
  timer_.reset();
  Emit(Route{excluded_, stream_.relayed()});
}

void RequestMachine::SendOwnAttempt(TimePoint now) {
  BILBERRYSPOOL_INVARIANT(
      spec_.idempotent || unproven_attempts_ == 0,
      "at most one unproven attempt of a non-idempotent request");
  BILBERRYSPOOL_INVARIANT(spec_.idempotent || claim_won_,
                          "a non-idempotent attempt is sent under a won claim");
  BILBERRYSPOOL_INVARIANT(spec_.idempotent || !stalled_,
                          "no new non-idempotent attempt after a stall");
  state_ = State::kAttempting;
  ++attempts_;
  ++unproven_attempts_;
  Emit(SendAttempt{
      {*attempt_, spec_.key, spec_.claimant.entry, stream_.relayed()}});
  RecordAttemptLiveness(now);
}

void RequestMachine::StartSettling(TimePoint now) {
  state_ = State::kSettling;
  settle_queries_ = 0;
  SendSettleQuery(true, now);
}

void RequestMachine::SendSettleQuery(bool forbid, TimePoint now) {
  ++settle_queries_;
  Emit(SendSettle{{*attempt_, forbid}});
  timer_ = now + options_.settle_interval;
}

void RequestMachine::OnSettled(const SettleState& state, TimePoint now) {
  std::visit(Overloaded{
                 [&](const SettledNotRun&) {
                   OnProvenNotRun(true, options_.default_retry, now);
                 },
                 [&](const SettledRunning&) { Resume(now); },
                 [&](const SettledFinished& finished) {
                   const std::optional<std::string>& body =
                       finished.outcome.body;
                   if (!body.has_value() || body->size() < stream_.relayed()) {
                     OnAttemptLost(FinalReason::kAnswerNotKept, now);
                     return;
                   }
                   status_ = head_relayed_ ? status_ : finished.outcome.status;
                   Relay(0, *body, now);
                   Complete();
                 },
                 [](const SettledNotSeen&) {},
                 [&](const SettledUnknown&) {
                   OnAttemptLost(FinalReason::kTargetLost, now);
                 },
             },
             state);
}

void RequestMachine::OnSettleTimer(TimePoint now) {
  if (settle_queries_ < options_.max_settle_queries) {
    SendSettleQuery(true, now);
    return;
  }
  if (state_ == State::kLookingUp) {
    GiveUp(FinalReason::kInProgress, options_.default_retry, now);
    return;
  }
  OnAttemptLost(FinalReason::kTargetLost, now);
}

void RequestMachine::Resume(TimePoint now) {
  if (resumes_ >= options_.max_resumes) {
    OnAttemptLost(FinalReason::kStreamBroken, now);
    return;
  }
  ++resumes_;
  Emit(ResumeAttempt{*attempt_, stream_.relayed()});
  RecordAttemptLiveness(now);
}

void RequestMachine::RecordAttemptLiveness(TimePoint now) {
  state_ = State::kAttempting;
  timer_ = now + options_.silence_timeout;
}

void RequestMachine::Relay(std::uint64_t offset,
                           const std::string& data,
                           TimePoint now) {
  const std::optional<std::string> unrelayed = stream_.Take(offset, data);
  if (!unrelayed.has_value()) {
    StartSettling(now);
    return;
  }
  RecordAttemptLiveness(now);
  if (unrelayed->empty() || caller_disconnected_) {
    return;
  }
  RelayHeadOnce();
  Emit(RelayChunk{*unrelayed});
}

void RequestMachine::RelayHeadOnce() {
  if (!head_relayed_) {
    head_relayed_ = true;
    Emit(RelayHead{status_});
  }
}

void RequestMachine::OnProvenNotRun(bool exclude_target,
                                    Duration retry_after,
                                    TimePoint now) {
  BILBERRYSPOOL_INVARIANT(unproven_attempts_ > 0,
                          "a proof refers to an attempt that was sent");
  --unproven_attempts_;
  if (exclude_target) {
    excluded_.push_back(attempt_->target);
  }
  attempt_.reset();
  if (caller_disconnected_ || attempts_ >= options_.max_attempts) {
    GiveUp(FinalReason::kRefusedByTargets, retry_after, now);
    return;
  }
  StartRouting();
}

// Handles an attempt whose state can't be determined or whose answer is lost.
void RequestMachine::OnAttemptLost(FinalReason reason, TimePoint now) {
  const bool continues = stream_.relayed() == 0 || can_continue_;
  if (!MayRetry() || !continues) {
    GiveUp(stream_.relayed() > 0 ? FinalReason::kStreamBroken : reason,
           options_.default_retry, now);
    return;
  }
  Emit(CancelAttempt{*attempt_});
  excluded_.push_back(attempt_->target);
  attempt_.reset();
  StartRouting();
}

bool RequestMachine::MayRetry() const {
#if defined(BILBERRYSPOOL_MUTATION_RETRY_NON_IDEMPOTENT)
  return attempts_ < options_.max_attempts;
#else
  return spec_.idempotent && attempts_ < options_.max_attempts;
#endif
}

}  // namespace bilberryspool::attempts
