// Admission control of an agent: only attempts that the gate admits are handed
// to the engine behind the agent.
//
// It prevents work from starting twice or too late, which can come from a
// duplicated or delayed frame, from an entry that was frozen for minutes and
// then sends what it had prepared, or from an agent that restarted and lost its
// state. Nothing is written to disk. Instead the gate issues admission tokens
// (its incarnation and an epoch of its own clock) and only starts attempts that
// carry a recent one. An attempt id is remembered at least as long as its token
// is valid, so that the attempt starts at most once, and each refusal by this
// incarnation is final.

#ifndef LIBS_ATTEMPTS_ATTEMPT_GATE_H_
#define LIBS_ATTEMPTS_ATTEMPT_GATE_H_

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <variant>

#include "libs/attempts/messages.h"
#include "libs/base/time.h"

namespace bilberryspool::attempts {

struct AttemptGateOptions {
  // Length of an epoch on the agent's clock.
  Duration epoch_length = Seconds(5);
  // Number of epochs after its own in which a token stays valid.
  std::uint64_t token_validity_epochs = 3;
  // Maximum number of attempts that run at the same time.
  std::size_t capacity = 64;
  // Maximum number of attempt records, running or not.
  std::size_t max_records = 50000;
  // Maximum size of one answer kept for later settle requests, and of all kept
  // answers together, in bytes.
  std::size_t max_kept_body_bytes = 4096;
  std::size_t max_kept_total_bytes = 8U << 20U;
  // Time after the start of draining during which new work is still admitted.
  Duration drain_grace_period = Seconds(3);
  // Retry hint in refusals because of capacity.
  Duration over_capacity_retry = Milliseconds(500);
};

// The attempt may be handed to the engine, exactly once.
struct Admitted {};
// Another copy of the attempt was admitted before.
struct AlreadyAdmitted {
  SettleState state;
};
using Admission = std::variant<Admitted, AlreadyAdmitted, AttemptRefusal>;

class AttemptGate {
 public:
  AttemptGate(AttemptGateOptions options,
              Incarnation incarnation,
              TimePoint started);

  // Returns the token to announce at `now`.
  AdmissionToken token(TimePoint now) const;

  // Decides on one received copy of an attempt. The attempt may be handed to
  // the engine only after Admitted, and only before `now` advances.
  Admission Admit(const StartAttempt& start, TimePoint now);

  // Records that the engine ended the attempt, successfully or not.
  void Finish(const AttemptId& attempt, Outcome outcome);

  // Records that the admitted attempt provably never reached the engine: it
  // counts as not run, and no copy of it starts later.
  void Withdraw(const AttemptId& attempt);

  // Answers a settle request; see SettleRequest.
  SettleAnswer Settle(const SettleRequest& request, TimePoint now);

  // Starts draining: new work is admitted only for `drain_grace_period`,
  // whether or not the entries have learned of the draining. Later calls have
  // no effect.
  void StartDraining(TimePoint now);

  // Refuses new work for `length`, as the engine asked for. An earlier pause is
  // never shortened.
  void Pause(Duration length, TimePoint now);

  // Refuses all new work from now on.
  void Stop() { stopped_ = true; }

  void set_capacity(std::size_t capacity) { options_.capacity = capacity; }

  std::size_t running() const { return running_; }
  std::size_t records() const { return records_.size(); }

 private:
  enum class Phase { kRunning, kFinished, kForbidden };

  struct Record {
    Phase phase = Phase::kRunning;
    AdmissionToken token;
    Outcome outcome;
  };

  // The epoch of this gate's clock, counted from 1 at its start.
  Epoch epoch(TimePoint now) const;
  bool IsTokenValid(const AdmissionToken& token, TimePoint now) const;
  bool HasCompleteRecordsFor(const AdmissionToken& token, TimePoint now) const;
  std::optional<RefusalReason> ReasonToRefuse(TimePoint now) const;
  AttemptRefusal Refuse(const StartAttempt& start,
                        RefusalReason reason,
                        TimePoint now);
  bool AddRecord(const AttemptRef& attempt, Phase phase, TimePoint now);
  bool EvictOldestRecord(TimePoint now);
  void KeepBody(const AttemptId& attempt, Record& record);
  static SettleState StateOf(const Record& record);

  AttemptGateOptions options_;
  Incarnation incarnation_;
  TimePoint started_;
  bool stopped_ = false;
  std::optional<TimePoint> draining_since_;
  TimePoint paused_until_;
  // Incremented to invalidate all issued tokens when the records are full.
  TokenGeneration generation_;
  // The newest token whose record was evicted.
  std::optional<AdmissionToken> newest_evicted_token_;
  std::size_t running_ = 0;
  std::unordered_map<AttemptId, Record> records_;
  // Attempts that have finished or must not start, oldest first.
  std::deque<AttemptId> ended_;
  // Attempts whose answer is kept, oldest first.
  std::deque<AttemptId> kept_body_ids_;
  std::size_t kept_bytes_ = 0;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_ATTEMPT_GATE_H_
