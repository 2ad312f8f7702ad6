// HTTP interface of a stand-in: completions (in one piece or streamed), plain
// calls, load reports, orders, and the witness (the runs of each request).

#ifndef TOOLS_STANDIN_STANDIN_SERVER_H_
#define TOOLS_STANDIN_STANDIN_SERVER_H_

#include <memory>

#include "libs/net/endpoint.h"
#include "tools/standin/engine_model.h"
#include "tools/standin/lockstep_engine.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::standin {

// Paths:
//   POST /v1/completions, /v1/chat/completions   model work; the witness counts
//        by X-Request-Id, X-Resume-Offset is the number of tokens to skip
//   POST /v1/orders       {"fencing": N, ...}; 409 for a stale token
//   GET  /load            the load report, late by report_lag
//   GET  /witness         {"id": runs, ...}; /witness/ID for one
//   POST /stall, /resume  stops and resumes all progress
//   POST /refuse/SECONDS  from now on completions and plain calls get 503 with
//        that Retry-After; without SECONDS they are served again
//   GET  /refusals        {"refusals": N}
//   GET  /health
//   those of LockstepEngine
//   POST anything else    a plain call: runs once, answers with an echo
class StandinServer {
 public:
  StandinServer(net::NetworkLoop& loop,
                net::Endpoint listen,
                EngineOptions options,
                LockstepOptions lockstep = {});
  ~StandinServer();

  // Returns an empty string, or an error message.
  std::string Start();
  void Drain();
  std::uint16_t port() const;
  EngineModel& model();

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace bilberryspool::standin

#endif  // TOOLS_STANDIN_STANDIN_SERVER_H_
