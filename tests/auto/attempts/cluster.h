// Simulated entries and agents on a fake network, with an engine that records
// each run.

#ifndef AUTO_ATTEMPTS_CLUSTER_H_
#define AUTO_ATTEMPTS_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "auto/attempts/fake_network.h"
#include "libs/attempts/attempt_gate.h"
#include "libs/attempts/claim_holder.h"
#include "libs/attempts/request_machine.h"
#include "libs/attempts/roster.h"
#include "libs/attempts/stall_detector.h"

namespace bilberryspool::attempts {

inline constexpr Duration kWindow = Seconds(60);
inline constexpr Duration kStallLimit = Seconds(10);
inline constexpr Duration kRequestTimeout = Seconds(5);
// Maximum time between the claim and the start of an attempt.
inline constexpr Duration kTokenValidity = Seconds(20);

struct ClusterOptions {
  NetworkOptions network;
  // The transport reports when no other process can have received a frame.
  bool transport_knows_copies = false;
  std::size_t agent_capacity = 64;
  std::size_t agent_records = 50000;
  Duration work = Milliseconds(50);
};

// One send of a request by a caller, with its answers.
struct SendRecord {
  std::string key;
  std::string entry;
  bool idempotent = false;
  bool first = false;
  TimePoint at;
  // The entry died or froze before the request was answered.
  bool disturbed = false;
  std::string text;
  std::vector<AnswerCaller> finals;
  TimePoint answered_at;
};

// One run recorded by the engine. `send` is the index of the send in sends().
struct EngineRun {
  std::size_t send;
  TimePoint at;
};

class Cluster {
 public:
  // Creates entries "e0", "e1", ... in three failure domains and agents "a0",
  // "a1", ...
  Cluster(ClusterOptions options,
          std::size_t entries,
          std::size_t agents,
          std::uint64_t seed);

  FakeNetwork& network() { return network_; }
  const std::vector<SendRecord>& sends() const { return sends_; }
  const std::vector<EngineRun>& runs(const std::string& key) {
    return runs_[key];
  }
  const std::vector<std::string>& faults() const { return faults_; }

  // Sends a request now. Returns the index of the send; none if the entry is
  // down.
  std::optional<std::size_t> Send(const std::string& key,
                                  const std::string& entry,
                                  bool idempotent,
                                  bool first);
  void Advance(Duration duration) {
    network_.RunUntil(network_.now() + duration);
  }

  void KillEntry(const std::string& name);
  void RestartEntry(const std::string& name);
  void KillAgent(const std::string& name) { network_.Kill(name); }
  void RestartAgent(const std::string& name);
  void FreezeEntry(const std::string& name, bool clock_stops);
  AttemptGate& gate(const std::string& agent) { return agents_[agent].gate[0]; }
  ClaimHolder& holder(const std::string& entry) {
    return *entries_[entry].holder;
  }
  // Replaces the members of the roster; each entry receives the new roster
  // after a random delay.
  void ChangeRoster(const std::vector<std::string>& members);
  // The holders of a key under the current roster.
  std::vector<std::string> HoldersOf(const std::string& key) const;

  // Called before each action is executed, so that a scenario can inject a
  // fault at this point.
  std::function<void(const RequestAction&, std::size_t send)> on_action;

  static std::string AnswerTo(const std::string& key) {
    return "the whole answer to " + key;
  }

  // Checks all conditions that must hold at the end; violations are collected
  // in faults().
  void CheckAtEnd();

 private:
  struct Entry {
    Incarnation incarnation{1};
    std::unique_ptr<ClaimHolder> holder;
    RosterHistory history{kWindow};
    StallDetector stall{{kStallLimit}, TimePoint()};
    std::map<std::string, AdmissionToken> tokens;
    std::map<std::size_t, RequestMachine> machines;
  };
  struct Job {
    StartAttempt start;
    std::size_t send;
    std::uint64_t offset;
    bool finished = false;
  };
  struct Agent {
    Incarnation incarnation{1};
    std::vector<AttemptGate> gate;
    std::map<AttemptId, Job> jobs;
  };

  void MarkDisturbed(const std::string& entry);
  void Announce(const std::string& agent);
  void ReceiveToken(const std::string& entry,
                    const std::string& agent,
                    AdmissionToken token);
  void Beat(const std::string& entry);
  void BeatPeriodically(const std::string& entry);
  void ReportStall(const std::string& entry);
  void AdoptRosters(const std::string& entry);
  void Feed(const std::string& entry, std::size_t send, RequestEvent event);
  void ScheduleAction(const std::string& entry,
                      std::size_t send,
                      RequestAction action);
  void ExecuteAction(const std::string& entry,
                     std::size_t send,
                     const SendClaim& what);
  void ExecuteAction(const std::string& entry,
                     std::size_t send,
                     const SendRelease& what);
  void ExecuteAction(const std::string& entry,
                     std::size_t send,
                     const SendSettle& what);
  void ExecuteAction(const std::string& entry,
                     std::size_t send,
                     const SendFinish& what);
  void ExecuteAction(const std::string& entry,
                     std::size_t send,
                     const SendAttempt& what);
  void ExecuteAction(const std::string& entry,
                     std::size_t send,
                     const ResumeAttempt& what);
  void ExecuteAction(const std::string& entry,
                     std::size_t send,
                     const Route& what);
  void ExecuteAction(const std::string& entry,
                     std::size_t send,
                     const AnswerCaller& what);
  void ExecuteAction(const std::string&, std::size_t, const RelayHead&) {}
  void ExecuteAction(const std::string&, std::size_t, const CancelAttempt&) {}
  void ExecuteAction(const std::string&,
                     std::size_t send,
                     const RelayChunk& chunk) {
    sends_[send].text += chunk.data;
  }
  void SendQuery(const std::string& from,
                 const std::string& to,
                 std::size_t send,
                 std::function<RequestEvent(TimePoint)> answer);
  void ReceiveAttempt(const StartAttempt& start, std::size_t send, bool sole);
  void FinishJob(const std::string& agent, const AttemptId& attempt);
  void StreamAnswer(const std::string& agent, const Job& job);
  void Reply(const std::string& agent,
             const std::string& entry,
             std::size_t send,
             RequestEvent event);
  void ScheduleTick(const std::string& entry, std::size_t send);
  void Check(bool holds, const std::string& what, std::size_t send);

  ClusterOptions options_;
  FakeNetwork network_;
  std::map<std::string, Entry> entries_;
  std::map<std::string, Agent> agents_;
  std::vector<Roster> rosters_;
  std::vector<SendRecord> sends_;
  std::map<std::string, std::vector<EngineRun>> runs_;
  std::vector<std::string> faults_;
};

}  // namespace bilberryspool::attempts

#endif  // AUTO_ATTEMPTS_CLUSTER_H_
