// Sends the orders of one rank incarnation to its engine over HTTP.

#ifndef PLUGINS_AGENT_ENGINE_ORDERS_H_
#define PLUGINS_AGENT_ENGINE_ORDERS_H_

#include <boost/json/object.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/groups/rank_event.h"
#include "libs/net/endpoint.h"
#include "libs/net/http_client.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::agent {

// Sends reset and weight orders one at a time, so that a drop cannot overtake a
// fetch; steps run beside them. Held by a shared pointer, as its fibers may
// outlive the incarnation of the rank.
class EngineOrders : public std::enable_shared_from_this<EngineOrders> {
 public:
  using OnEvent = std::function<void(const groups::RankEvent&)>;
  // Called when the engine has lost a step or no longer knows of the reset. Its
  // state is then unknown, as after a restart.
  using OnLost = std::function<void(const std::string& reason)>;

  EngineOrders(net::NetworkLoop& loop,
               net::Endpoint engine,
               Incarnation incarnation,
               OnEvent on_event,
               OnLost on_lost);

  // Repeated until the engine confirms it.
  void Reset();
  void Fetch(const placement::ExpertKey& key);
  void Drop(const std::vector<placement::ExpertKey>& keys);
  void Start(const groups::StartStep& start);
  // Repeated until the step ends.
  void Abort(const groups::StepId& step);

  // Stops all reports and orders.
  void Close() { is_closed_ = true; }

 private:
  using Job = std::function<void()>;

  void Enqueue(Job job);
  void Report(const groups::RankEvent& event);
  // Returns the answer, or nothing if the engine failed or refused the order.
  std::optional<boost::json::object> Post(const std::string& path,
                                          boost::json::object body,
                                          Duration timeout);
  void RunStep(const groups::StartStep& start);

  net::NetworkLoop& loop_;
  net::Endpoint engine_;
  Incarnation incarnation_;
  OnEvent on_event_;
  OnLost on_lost_;
  net::HttpClient client_;
  bool is_closed_ = false;
  bool is_busy_ = false;
  std::deque<Job> jobs_;
  std::optional<groups::StepId> running_step_;
};

}  // namespace bilberryspool::agent

#endif  // PLUGINS_AGENT_ENGINE_ORDERS_H_
