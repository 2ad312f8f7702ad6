// Serves attempts on the VM of a target; nothing else sends work to its engine.

#ifndef PLUGINS_AGENT_ATTEMPT_SERVICE_H_
#define PLUGINS_AGENT_ATTEMPT_SERVICE_H_

#include <boost/json/value.hpp>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include "libs/attempts/attempt_gate.h"
#include "libs/limits/adaptive_limit.h"
#include "libs/net/endpoint.h"
#include "libs/net/http_client.h"
#include "libs/net/http_server.h"
#include "libs/telemetry/log.h"
#include "plugins/agent/attempt_log.h"

namespace bilberryspool::net {
class NetworkLoop;
}
namespace bilberryspool::telemetry {
class Registry;
class SpanWriter;
}  // namespace bilberryspool::telemetry

namespace bilberryspool::agent {

struct AttemptServiceOptions {
  net::Endpoint engine;
  attempts::AttemptGateOptions gate;
  // Number of answer bytes kept per attempt for entries that resume it.
  std::size_t max_log_bytes = 1U << 20U;
  // Time for which the answer of a finished attempt is kept.
  Duration finished_retention = Seconds(5);
  // Idempotent work that no entry follows is cancelled after this time.
  Duration orphan_grace = Seconds(4);
  // Interval at which a waiting entry gets an interim response, which shows
  // that the agent is alive.
  Duration keepalive_interval = Milliseconds(500);
  // An attempt fails when the engine sends nothing for this time.
  Duration engine_timeout = Seconds(60);
};

// Used in the agent's loop only. Each attempt has one fiber that reads from the
// engine, and any number of connections that follow its log.
class AttemptService {
 public:
  AttemptService(net::NetworkLoop& loop,
                 AttemptServiceOptions options,
                 Incarnation incarnation,
                 TimePoint started,
                 telemetry::Registry& metrics,
                 telemetry::SpanWriter* spans);
  ~AttemptService();

  // Starts a new attempt or resumes one, depending on the header fields.
  void Handle(net::HttpExchange& exchange);

  // JSON-RPC methods; they return nothing if the params are malformed.
  std::optional<boost::json::value> Settle(const boost::json::value& params);
  std::optional<boost::json::value> Cancel(const boost::json::value& params);
  std::optional<boost::json::value> Token(const boost::json::value& params);

  // Refuses new work after the gate's grace period; running attempts continue.
  void StartDraining();
  void StopNewWork();
  // While held, new attempts are refused immediately as not run, and running
  // ones continue. Used when the engine cannot make progress, so that callers
  // do not wait for it.
  void SetHeld(bool is_held);
  std::size_t running() const;
  attempts::AdmissionToken token() const;

  // Sets the load that the engine reported last; it is sent with each answer.
  void SetLoad(std::uint32_t running, std::uint32_t queued);
  // The number of requests that the engine can run concurrently, as measured.
  std::size_t limit() const { return limit_.limit(); }

 private:
  struct Attempt;
  using AttemptPointer = std::shared_ptr<Attempt>;

  void HandleStart(net::HttpExchange& exchange, const std::string& start);
  void HandleResume(net::HttpExchange& exchange, const std::string& resume);
  void Refuse(net::HttpExchange& exchange,
              const attempts::AttemptRefusal& refusal);
  // Sends the attempt to the engine and reads its answer into the log.
  void RunOnEngine(const AttemptPointer& attempt);
  void ReadAnswer(const AttemptPointer& attempt, net::HttpClientStream& stream);
  // Starts no attempts for as long as the engine asks in a refusal.
  void PauseIfRequested(const Attempt& attempt,
                        const net::HttpResponseHead& head);
  void EndAttempt(const AttemptPointer& attempt, AttemptPhase phase);
  // Answers an entry that the attempt never reached the engine.
  void RefuseWithdrawn(net::HttpExchange& exchange, const Attempt& attempt);
  void WriteSpan(const Attempt& attempt, std::uint64_t started_wall_ns);
  // Sends the answer from `offset` on to an entry while the engine produces it.
  void Follow(net::HttpExchange& exchange,
              const AttemptPointer& attempt,
              std::uint64_t offset);
  // Returns false if the entry has disconnected.
  bool WaitForHead(net::HttpExchange& exchange, const AttemptPointer& attempt);
  // Returns false if the entry has disconnected.
  bool StreamLog(net::HttpExchange& exchange,
                 const AttemptPointer& attempt,
                 std::uint64_t offset);
  // Cancels idempotent work that no entry follows, after a delay.
  void CancelIfOrphaned(const AttemptPointer& attempt);
  void AddAgentHeaders(net::HttpHeaders& headers) const;

  net::NetworkLoop& loop_;
  AttemptServiceOptions options_;
  attempts::AttemptGate gate_;
  net::HttpClient engine_;
  telemetry::Logger log_;
  telemetry::Registry& metrics_;
  telemetry::SpanWriter* spans_;
  limits::AdaptiveLimit limit_;
  std::string load_text_;
  std::unordered_map<AttemptId, AttemptPointer> attempts_;
};

}  // namespace bilberryspool::agent

#endif  // PLUGINS_AGENT_ATTEMPT_SERVICE_H_
