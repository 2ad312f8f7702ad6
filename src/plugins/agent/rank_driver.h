// Runs the rank machine of an agent whose target is a rank of a group.

#ifndef PLUGINS_AGENT_RANK_DRIVER_H_
#define PLUGINS_AGENT_RANK_DRIVER_H_

#include <boost/json/value.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "libs/groups/group_contacts.h"
#include "libs/groups/rank_machine.h"
#include "libs/links/link_client.h"
#include "libs/links/link_server.h"
#include "libs/telemetry/log.h"
#include "plugins/agent/engine_orders.h"
#include "plugins/agent/expert_probe.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::agent {

struct RankDriverOptions {
  GroupId group;
  RankIndex rank;
  TargetId target;
  net::Endpoint engine;
};

// Used in the agent's loop only. An engine that loses a step is treated as
// restarted: the rank restarts under a greater incarnation, without resident
// weights and without any promise given before.
class RankDriver {
 public:
  // Called when the rank starts or stops running steps.
  using OnServing = std::function<void(bool is_serving)>;

  RankDriver(net::NetworkLoop& loop,
             links::LinkClient& client,
             RankDriverOptions options,
             Incarnation incarnation,
             OnServing on_serving);

  // Registers the methods that controllers and other ranks call.
  void Register(links::LinkServer& server);
  void Start();

 private:
  using Json = boost::json::value;

  void Run();
  // Starts a new rank machine, under the next incarnation unless it is the
  // first.
  void Restart();
  void Handle(const groups::RankEvent& event);
  void ExecuteAll(const std::vector<groups::RankAction>& actions);
  void Execute(const groups::ResetEngine& action);
  void Execute(const groups::FetchWeights& action);
  void Execute(const groups::DropWeights& action);
  void Execute(const groups::StartStep& action);
  void Execute(const groups::AbortStep& action);
  void Execute(const groups::SendStatus& action);
  void Execute(const groups::SendToRank& action);
  void Execute(const groups::RankStateChanged& action);
  void SendCounts(groups::ExpertCounts counts);
  void Send(const std::string& address,
            const std::string& method,
            const Json& params);
  std::optional<Json> OnContacts(const Json& params);
  std::optional<Json> OnOrder(const Json& params);
  std::optional<Json> OnRankMessage(const Json& params);

  net::NetworkLoop& loop_;
  links::LinkClient& client_;
  RankDriverOptions options_;
  Incarnation incarnation_;
  OnServing on_serving_;
  telemetry::Logger log_;
  std::optional<groups::RankMachine> machine_;
  std::shared_ptr<EngineOrders> engine_;
  groups::GroupContacts contacts_;
  ExpertProbe probe_;
  std::uint64_t counts_sent_ = 0;
};

}  // namespace bilberryspool::agent

#endif  // PLUGINS_AGENT_RANK_DRIVER_H_
