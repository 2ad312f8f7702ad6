#ifndef LIBS_SCENARIO_REQUEST_HOST_H_
#define LIBS_SCENARIO_REQUEST_HOST_H_

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "libs/attempts/claim_holder.h"
#include "libs/attempts/request_machine.h"
#include "libs/attempts/roster.h"
#include "libs/attempts/stall_detector.h"
#include "libs/config/configuration.h"
#include "libs/routing/router.h"
#include "libs/scenario/fake_network.h"
#include "libs/scenario/request_registry.h"

namespace bilberryspool::scenario {

// The request handling of an entry: its router, a state machine for each
// request, and its votes on claims.
class RequestHost {
 public:
  struct Hooks {
    // The targets as the membership directory lists them.
    std::function<std::vector<routing::TargetView>()> targets;
    std::function<const config::Configuration&()> configuration;
  };

  RequestHost(FakeNetwork& network,
              Verdict& verdict,
              RequestRegistry& request_registry,
              NodeId self,
              FailureDomain domain,
              Hooks hooks);

  void Start();
  // Called when the deployment starts for the first time: there are no earlier
  // votes on claims that this process could have lost, so it may vote at once.
  void MarkFirstStart();
  void Open(SendId send);
  // Whether new work may go to the target.
  bool offers(const TargetId& target) const;

  void Receive(const NodeId& from, const ClaimCall& call);
  void Receive(const NodeId& from, const ReleaseCall& call);
  void Receive(const NodeId& from, const attempts::FinishClaim& finish);
  void Receive(const NodeId& from, const TokenReply& reply);
  void Receive(const NodeId& from, const RequestReply& reply);

 private:
  struct KnownToken {
    attempts::AdmissionToken token;
    TimePoint learned_at;
  };
  // A chosen target whose admission token was requested.
  struct PendingChoice {
    routing::RouteRequest request;
    TargetId target;
    std::size_t tries = 0;
  };

  void UpdatePeriodically();
  void UpdateTargets();
  void UpdatePlacements();
  void UpdateRoster();
  attempts::ClaimHolder MakeHolder(bool first_start) const;
  attempts::RequestSpec MakeSpec(SendId send);
  void Beat();
  void OnStallDetected();
  void HandleEvent(SendId send, const attempts::RequestEvent& event);
  void ScheduleTick(SendId send);
  void Choose(SendId send, PendingChoice choice);
  void OnTokenTimeout(SendId send,
                      const TargetId& unresponsive,
                      std::size_t tries);
  void FinishAttempt(const AttemptId& attempt, routing::AttemptOutcome outcome);
  void UpdateRouter(const attempts::RequestEvent& event);

  void Execute(SendId send, const attempts::SendClaim& action);
  void Execute(SendId send, const attempts::Route& action);
  void Execute(SendId send, const attempts::SendAttempt& action);
  void Execute(SendId, const attempts::RelayHead&) {}
  void Execute(SendId send, const attempts::RelayChunk& action);
  void Execute(SendId send, const attempts::SendSettle& action);
  void Execute(SendId send, const attempts::ResumeAttempt& action);
  void Execute(SendId, const attempts::CancelAttempt&) {}
  void Execute(SendId send, const attempts::AnswerCaller& action);
  void Execute(SendId send, const attempts::SendRelease& action);
  void Execute(SendId send, const attempts::SendFinish& action);

  FakeNetwork& network_;
  Verdict& verdict_;
  RequestRegistry& request_registry_;
  NodeId self_;
  FailureDomain domain_;
  Hooks hooks_;
  attempts::ClaimHolder holder_;
  attempts::RosterHistory rosters_;
  attempts::StallDetector stall_;
  routing::Router router_;
  std::map<TargetId, routing::TargetView> views_;
  std::map<TargetId, KnownToken> tokens_;
  std::map<SendId, attempts::RequestMachine> machines_;
  std::map<SendId, PendingChoice> choices_;
  // Attempts of each open send, to be finished in the router.
  std::map<SendId, std::vector<AttemptId>> attempts_;
  bool was_founded_ = false;
};

}  // namespace bilberryspool::scenario

#endif  // LIBS_SCENARIO_REQUEST_HOST_H_
