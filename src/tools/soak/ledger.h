// Records what callers, targets and operators observed, and finds violations of
// the system's guarantees.
//
// Without I/O or a clock: events are reported with their times and evaluated at
// the end.

#ifndef TOOLS_SOAK_LEDGER_H_
#define TOOLS_SOAK_LEDGER_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/time.h"
#include "libs/traffic/traffic_configuration.h"
#include "tools/soak/fault_plan.h"

namespace bilberryspool::soak {

// One call of a caller.
struct CallSent {
  std::string id;
  traffic::RequestKind kind = traffic::RequestKind::kNonIdempotent;
  std::string workspace;
  std::string path;
  std::string body;
  std::uint32_t gateway = 0;
  Duration timeout{};
  TimePoint at;
};

enum class CallEnding {
  kAnswered,   // a complete answer with any status
  kNotSent,    // no connection
  kBroken,     // the connection ended before the answer was complete
  kTimedOut,   // no complete answer within the caller's timeout and a margin of
               // 1 s
  kCancelled,  // the caller cancelled the call
};

struct CallEnded {
  CallEnding ending = CallEnding::kTimedOut;
  int status = 0;
  bool is_signed = false;
  // Of a plain answer: whether the body belongs to the call.
  bool is_own_body = true;
  // Of a stream: the numbers of its events, in the order received.
  std::vector<std::uint32_t> events;
  bool has_foreign_event = false;
  TimePoint at;
};

// A target started to run a request.
struct RunSeen {
  std::string id;
  std::string target;
  std::uint32_t target_number = 0;
  std::string workspace;
  std::string path;
  std::string body;
  TimePoint at;
};

// A configuration version that an operator read from a control node.
struct ConfigurationRead {
  std::uint64_t version = 0;
  TimePoint asked_at;
};

struct Violation {
  std::string promise;
  std::string what;
};

struct LedgerOptions {
  std::uint32_t events = 20;  // number of events of each stream
  Duration apply_time = Seconds(2);
  Duration drain_time = Seconds(2);
  // How long after a fault ended its effects on other processes are excused.
  Duration fault_effect_duration = Seconds(3);
  double retry_ratio = 0.2;
  double retry_slack = 94.0;
  Duration retry_window = Seconds(10);
  // Minimum share of the calls after the recovery that must be served.
  double recovered_share = 0.95;
};

class Ledger {
 public:
  explicit Ledger(LedgerOptions options) : options_(options) {}

  void OnSent(CallSent call);
  void OnEnded(const std::string& id, CallEnded ended);
  void OnRun(RunSeen run);
  // A control node has confirmed the announcement that the target leaves.
  void OnLeaving(const std::string& target, TimePoint at);
  void OnConfirmed(std::uint64_t version, TimePoint at);
  void OnRead(const ConfigurationRead& read) { reads_.push_back(read); }
  // A configuration was handled wrongly: an invalid one was accepted, or a
  // valid one refused, not confirmed in time or not readable.
  void OnConfigurationViolation(std::string what);
  // A process exited although no fault ended it, or can't be started again.
  void OnUnexpectedExit(std::string process);
  void OnFault(const FaultEvent& fault_event,
               TimePoint begun,
               TimePoint undone);
  // From this time on everything is expected to work again.
  void OnRecovered(TimePoint at) { recovered_at_ = at; }

  std::vector<Violation> FindViolations() const;

  struct Totals {
    std::size_t sent = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::size_t broken = 0;
    std::size_t not_sent = 0;
    std::size_t failed = 0;
    std::size_t left = 0;
    std::size_t runs = 0;
    std::size_t confirmed = 0;
  };
  Totals totals() const;

 private:
  struct Call {
    CallSent sent;
    std::optional<CallEnded> ended;
    std::vector<RunSeen> runs;
  };
  struct Window {
    FaultEvent fault_event;
    TimePoint begun;
    TimePoint undone;
  };

  using Violations = std::vector<Violation>;
  void CheckEnd(const Call& call, Violations& found) const;
  void CheckAnswer(const Call& call, Violations& found) const;
  void CheckStream(const Call& call, Violations& found) const;
  void CheckRuns(const Call& call, Violations& found) const;
  void CheckPlannedWork(const Call& call, Violations& found) const;
  void CheckLeaving(Violations& found) const;
  void CheckReads(Violations& found) const;
  void CheckRetries(Violations& found) const;
  void CheckRecovery(Violations& found) const;
  bool HasFault(VictimClass victims,
                std::optional<std::uint32_t> victim,
                bool counts_planned,
                TimePoint from,
                TimePoint to) const;

  LedgerOptions options_;
  std::map<std::string, Call> calls_;
  std::vector<RunSeen> unrequested_runs_;
  std::map<std::string, TimePoint> leaving_;
  std::map<std::uint64_t, TimePoint> confirmed_;
  std::vector<ConfigurationRead> reads_;
  std::vector<Window> faults_;
  std::vector<Violation> reported_violations_;
  std::optional<TimePoint> recovered_at_;
};

}  // namespace bilberryspool::soak

#endif  // TOOLS_SOAK_LEDGER_H_
