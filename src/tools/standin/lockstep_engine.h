// HTTP interface of a stand-in engine that is a rank of a group: lock-step
// steps, weights, reset, and the log of the steps that it started.

#ifndef TOOLS_STANDIN_LOCKSTEP_ENGINE_H_
#define TOOLS_STANDIN_LOCKSTEP_ENGINE_H_

#include <boost/json/object.hpp>
#include <cstdint>
#include <string>

#include "libs/net/http_server.h"
#include "tools/standin/engine_model.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::standin {

struct LockstepOptions {
  Duration step_time = Milliseconds(20);
  Duration fetch_time = Milliseconds(5);
  // Layers and experts of the model; 0: no expert counts in load reports.
  std::uint32_t layers = 0;
  std::uint32_t experts = 0;
  // The most popular expert of each layer; popularity falls with each expert
  // after it.
  std::uint32_t hot_expert = 0;
};

// Paths:
//   POST /v1/reset        {"incarnation"}: aborts the step, drops all weights
//   POST /v1/weights      {"incarnation", "action": "fetch"|"drop"}
//   POST /v1/steps        {"incarnation", "token", "sequence", "number",
//        "map_version"}: answers {"finished": true|false} when it ends
//   POST /v1/steps/abort  {"incarnation"}
//   GET  /steps           "TOKEN.SEQUENCE.NUMBER MAP_VERSION" a line
// A stale incarnation or token is refused with 409 if the engine checks
// fencing; a step before the first reset is always refused.
class LockstepEngine {
 public:
  LockstepEngine(net::NetworkLoop& loop,
                 EngineModel& model,
                 LockstepOptions options);

  // Returns false if the path is none of the above.
  bool Handle(net::HttpExchange& exchange);

  // {"layers", "experts", "tokens": running totals} for load reports; empty if
  // the options have no layers or experts.
  boost::json::object ExpertTotals() const;

 private:
  void Reset(net::HttpExchange& exchange, const boost::json::object& body);
  void Weights(net::HttpExchange& exchange, const boost::json::object& body);
  void Step(net::HttpExchange& exchange, const boost::json::object& body);
  void Abort(net::HttpExchange& exchange, const boost::json::object& body);
  bool IsStale(const boost::json::object& body) const;
  // Sleeps for `duration`, and then until the engine isn't stalled.
  void SleepThroughStall(Duration duration);

  net::NetworkLoop& loop_;
  EngineModel& model_;
  LockstepOptions options_;
  std::uint64_t incarnation_ = 0;  // of the last reset; 0: none yet
  std::uint64_t aborts_ = 0;
  std::uint32_t running_steps_ = 0;
  std::string started_steps_;
  std::uint64_t finished_steps_ = 0;
};

}  // namespace bilberryspool::standin

#endif  // TOOLS_STANDIN_LOCKSTEP_ENGINE_H_
