#include "libs/attempts/attempt_gate.h"

#include <algorithm>
#include <utility>

#include "libs/base/check.h"

namespace bilberryspool::attempts {

AttemptGate::AttemptGate(AttemptGateOptions options,
                         Incarnation incarnation,
                         TimePoint started)
    : options_(options), incarnation_(incarnation), started_(started) {}

AdmissionToken AttemptGate::token(TimePoint now) const {
  return {incarnation_, generation_, epoch(now)};
}

Admission AttemptGate::Admit(const StartAttempt& start, TimePoint now) {
  const AttemptRef& attempt = start.attempt;
  if (attempt.token.incarnation != incarnation_) {
    return Refuse(start, RefusalReason::kOtherIncarnation, now);
  }
  const auto known = records_.find(attempt.attempt);
  if (known != records_.end()) {
    if (known->second.phase == Phase::kForbidden) {
      return Refuse(start, RefusalReason::kTombstone, now);
    }
    return AlreadyAdmitted{StateOf(known->second)};
  }
#if !defined(BILBERRYSPOOL_MUTATION_ACCEPT_OLD_EPOCH)
  if (!IsTokenValid(attempt.token, now)) {
    return Refuse(start, RefusalReason::kExpiredToken, now);
  }
#endif
  const std::optional<RefusalReason> reason = ReasonToRefuse(now);
  if (reason.has_value()) {
    // The refusal must be final: a second copy of the frame may arrive when
    // there is capacity again, after the entry reported "not run".
    AddRecord(attempt, Phase::kForbidden, now);
    return Refuse(start, *reason, now);
  }
  if (!AddRecord(attempt, Phase::kRunning, now)) {
    return Refuse(start, RefusalReason::kMemoryFull, now);
  }
  ++running_;
  return Admitted{};
}

void AttemptGate::Finish(const AttemptId& attempt, Outcome outcome) {
  const auto known = records_.find(attempt);
  if (known == records_.end() || known->second.phase != Phase::kRunning) {
    return;
  }
  known->second.phase = Phase::kFinished;
  known->second.outcome = std::move(outcome);
  KeepBody(attempt, known->second);
  ended_.push_back(attempt);
  BILBERRYSPOOL_INVARIANT(running_ > 0, "a finished attempt was running");
  --running_;
}

void AttemptGate::Withdraw(const AttemptId& attempt) {
  const auto known = records_.find(attempt);
  if (known == records_.end() || known->second.phase != Phase::kRunning) {
    return;
  }
  known->second.phase = Phase::kForbidden;
  ended_.push_back(attempt);
  BILBERRYSPOOL_INVARIANT(running_ > 0, "a withdrawn attempt was running");
  --running_;
}

SettleAnswer AttemptGate::Settle(const SettleRequest& request, TimePoint now) {
  const AttemptRef& attempt = request.attempt;
  const auto known = records_.find(attempt.attempt);
  if (known != records_.end()) {
    return {attempt.attempt, StateOf(known->second)};
  }
  if (!HasCompleteRecordsFor(attempt.token, now)) {
    return {attempt.attempt, SettledUnknown{}};
  }
  if (!IsTokenValid(attempt.token, now)) {
    return {attempt.attempt, SettledNotRun{}};
  }
  if (!request.forbid) {
    return {attempt.attempt, SettledNotSeen{}};
  }
#if !defined(BILBERRYSPOOL_MUTATION_FORGET_TOMBSTONE)
  // The frame may still be in transit. The entry is about to report "not run"
  // or to try another target, so the frame must be refused on arrival.
  AddRecord(attempt, Phase::kForbidden, now);
#endif
  return {attempt.attempt, SettledNotRun{}};
}

void AttemptGate::StartDraining(TimePoint now) {
  if (!draining_since_.has_value()) {
    draining_since_ = now;
  }
}

Epoch AttemptGate::epoch(TimePoint now) const {
  const auto passed = std::max<std::int64_t>(
      (now - started_) / options_.epoch_length, std::int64_t{0});
  return Epoch(static_cast<std::uint64_t>(passed) + 1);
}

bool AttemptGate::IsTokenValid(const AdmissionToken& token,
                               TimePoint now) const {
  const Epoch present = epoch(now);
  return token.generation == generation_ && token.epoch <= present &&
         token.epoch.value() + options_.token_validity_epochs >=
             present.value();
}

// Whether the absence of a record proves that no attempt with this token ran.
bool AttemptGate::HasCompleteRecordsFor(const AdmissionToken& token,
                                        TimePoint now) const {
  if (token.incarnation != incarnation_ || token.epoch > epoch(now)) {
    return false;
  }
  return !newest_evicted_token_.has_value() || *newest_evicted_token_ < token;
}

void AttemptGate::Pause(Duration length, TimePoint now) {
  paused_until_ = std::max(paused_until_, now + length);
}

std::optional<RefusalReason> AttemptGate::ReasonToRefuse(TimePoint now) const {
  if (stopped_) {
    return RefusalReason::kStopped;
  }
  if (draining_since_.has_value() &&
      now - *draining_since_ >= options_.drain_grace_period) {
    return RefusalReason::kLeaving;
  }
  if (now < paused_until_) {
    return RefusalReason::kPaused;
  }
  if (running_ >= options_.capacity) {
    return RefusalReason::kOverCapacity;
  }
  return std::nullopt;
}

AttemptRefusal AttemptGate::Refuse(const StartAttempt& start,
                                   RefusalReason reason,
                                   TimePoint now) {
  // Another incarnation, or this one before it evicted the record, may have run
  // an earlier copy of the frame.
  const bool never_ran = HasCompleteRecordsFor(start.attempt.token, now);
  Duration retry_after{};
  if (reason == RefusalReason::kOverCapacity) {
    retry_after = options_.over_capacity_retry;
  } else if (reason == RefusalReason::kPaused) {
    retry_after = paused_until_ - now;
  }
  return {start.attempt.attempt, reason, never_ran, token(now), retry_after};
}

// Returns false if the records are full. In that case all issued tokens have
// been invalidated, so that the attempt can't start later either.
bool AttemptGate::AddRecord(const AttemptRef& attempt,
                            Phase phase,
                            TimePoint now) {
  if (records_.size() >= options_.max_records && !EvictOldestRecord(now)) {
    generation_ = generation_.Next();
    return false;
  }
  records_.emplace(attempt.attempt, Record{phase, attempt.token, {}});
  if (phase == Phase::kForbidden) {
    ended_.push_back(attempt.attempt);
  }
  return true;
}

// Evicts the oldest ended record whose token is no longer valid.
bool AttemptGate::EvictOldestRecord(TimePoint now) {
  for (std::size_t tried = ended_.size(); tried > 0; --tried) {
    const AttemptId oldest = ended_.front();
    ended_.pop_front();
    const AdmissionToken token = records_.at(oldest).token;
    if (IsTokenValid(token, now)) {
      ended_.push_back(oldest);
      continue;
    }
    kept_bytes_ -= records_.at(oldest).outcome.body.value_or("").size();
    records_.erase(oldest);
    newest_evicted_token_ =
        std::max(newest_evicted_token_.value_or(token), token);
    return true;
  }
  return false;
}

// Drops answers that are too large, then the oldest ones, to bound memory use.
void AttemptGate::KeepBody(const AttemptId& attempt, Record& record) {
  std::optional<std::string>& body = record.outcome.body;
  if (!body.has_value()) {
    return;
  }
  if (body->size() > options_.max_kept_body_bytes) {
    body.reset();
    return;
  }
  kept_bytes_ += body->size();
  kept_body_ids_.push_back(attempt);
  while (kept_bytes_ > options_.max_kept_total_bytes) {
    const auto oldest = records_.find(kept_body_ids_.front());
    kept_body_ids_.pop_front();
    if (oldest == records_.end()) {
      continue;
    }
    kept_bytes_ -= oldest->second.outcome.body->size();
    oldest->second.outcome.body.reset();
  }
}

SettleState AttemptGate::StateOf(const Record& record) {
  switch (record.phase) {
    case Phase::kRunning:
      return SettledRunning{};
    case Phase::kFinished:
      return SettledFinished{record.outcome};
    case Phase::kForbidden:
      return SettledNotRun{};
  }
  return SettledUnknown{};
}

}  // namespace bilberryspool::attempts
