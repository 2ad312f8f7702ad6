#ifndef LIBS_SCENARIO_AGENT_NODE_H_
#define LIBS_SCENARIO_AGENT_NODE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/attempts/attempt_gate.h"
#include "libs/membership/announcer.h"
#include "libs/scenario/request_registry.h"
#include "libs/scenario/spread_host.h"

namespace bilberryspool::scenario {

// One process of an agent, with a fake engine whose runs are recorded.
class AgentNode {
 public:
  struct Settings {
    NodeId node;
    FailureDomain domain;
    std::vector<ServiceId> services;
    // The entries of the domain.
    std::vector<std::string> entries;
  };

  AgentNode(FakeNetwork& network,
            Verdict& verdict,
            ConfigChecks& checks,
            RequestRegistry& request_registry,
            Settings settings);

  void Start();
  void Receive(const NodeId& from, const Frame& frame);
  // Starts a planned stop: admits no new work and announces that it leaves.
  void BeginPlannedStop();

  const config::Configuration& configuration() const {
    return spread_.configuration();
  }

 private:
  struct Job {
    attempts::StartAttempt start;
    // Where the answer is streamed to, and from which byte offset on.
    SendId send;
    NodeId entry;
    std::uint64_t offset = 0;
    bool finished = false;
  };

  void RunAnnouncer();
  void HandleAnnouncer(const membership::AnnouncerEvent& event);
  spread::TopologyChanged Topology() const;
  void On(const NodeId& from, const membership::AnnounceReply& reply);
  void On(const NodeId& from, const spread::DeltaMessage& message);
  void On(const NodeId& from, const spread::FullMessage& message);
  void On(const NodeId& from, const spread::HaveMessage& message);
  void On(const NodeId& from, const TokenCall& call);
  void On(const NodeId& from, const AttemptCall& call);
  void On(const NodeId& from, const ResumeCall& call);
  void On(const NodeId& from, const SettleCall& call);
  template <typename Other>
  void On(const NodeId&, const Other&) {}

  void Refuse(const NodeId& from,
              const AttemptCall& call,
              const attempts::AttemptRefusal& refusal);
  void Finish(const AttemptId& attempt);
  void Stream(const Job& job);
  void Reply(const NodeId& to,
             SendId send,
             std::vector<attempts::RequestEvent> events);

  FakeNetwork& network_;
  Verdict& verdict_;
  RequestRegistry& request_registry_;
  Settings settings_;
  TargetId target_;
  membership::Announcer announcer_;
  attempts::AttemptGate gate_;
  SpreadHost spread_;
  std::map<AttemptId, Job> jobs_;
};

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_AGENT_NODE_H_
