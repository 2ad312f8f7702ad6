// The agent's gate: the only giver of work to the engine behind the agent.
//
// It guards against work that starts twice or too late: a duplicated or
// delayed frame, an entry that was frozen for minutes and sends what it had
// prepared, an agent that restarted and forgot. Nothing is written to a disk;
// in its place the gate issues admission tokens (its incarnation and an epoch
// of its own clock) and only starts attempts that carry a recent one. An
// attempt id is remembered at least as long as its token is good, so that it
// starts at most once, and each refusal of this incarnation is final.

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
  // A token is good in its own epoch and in this many after it.
  std::uint64_t token_validity_epochs = 3;
  // Attempts that run at the same time.
  std::size_t capacity = 64;
  // Attempts remembered, running or not.
  std::size_t max_records = 50000;
  // Largest answer kept for a later question, and all of them, in bytes.
  std::size_t max_kept_body_bytes = 4096;
  std::size_t max_kept_total_bytes = 8U << 20U;
  // How long new work is still taken after draining began.
  Duration drain_grace_period = Seconds(3);
  // Hint to callers where the gate is over its capacity.
  Duration over_capacity_retry = Milliseconds(500);
};

// The attempt may be handed to the engine, this once.
struct Admitted {};
// Another copy of the attempt got here first.
struct AlreadyAdmitted {
  SettleState state;
};
using Admission = std::variant<Admitted, AlreadyAdmitted, AttemptRefusal>;

class AttemptGate {
 public:
  AttemptGate(AttemptGateOptions options,
              Incarnation incarnation,
              TimePoint started);

  // The token to announce at `now`.
  AdmissionToken token(TimePoint now) const;

  // Decides on one arrival of an attempt. Only after Admitted may the engine
  // get it, and before `now` moves on.
  Admission Admit(const StartAttempt& start, TimePoint now);

  // The engine ended the attempt, well or badly.
  void Finish(const AttemptId& attempt, Outcome outcome);

  // The admitted attempt never reached the engine, which is proven: it counts
  // as not run, and no copy of it starts later.
  void Withdraw(const AttemptId& attempt);

  // Answers a question about an attempt; see SettleRequest.
  SettleAnswer Settle(const SettleRequest& request, TimePoint now);

  // The agent leaves: new work is taken for the grace only, whether or not
  // anyone heard of it. Calling it again changes nothing.
  void StartDraining(TimePoint now);

  // Refuses all new work at once.
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
  // Grows to end all tokens at once, where memory is full.
  TokenGeneration generation_;
  // The newest token of which a record was dropped.
  std::optional<AdmissionToken> newest_evicted_token_;
  std::size_t running_ = 0;
  std::unordered_map<AttemptId, Record> records_;
  // Ended records, oldest first.
  std::deque<AttemptId> ended_;
  // Attempts whose answer is kept, oldest first.
  std::deque<AttemptId> kept_body_ids_;
  std::size_t kept_bytes_ = 0;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_ATTEMPT_GATE_H_
