// Serves attempts on a target VM: the only giver of work to its engine.

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
  // Answer bytes kept of one attempt for entries that follow it again.
  std::size_t max_log_bytes = 1U << 20U;
  // How long a finished attempt's answer is kept.
  Duration finished_retention = Seconds(5);
  // Idempotent work that nobody follows any more is cancelled after this time.
  Duration orphan_grace = Seconds(4);
  // How often an entry that waits gets a sign of life.
  Duration keepalive_interval = Milliseconds(500);
  // An engine that shows nothing for this long has failed the attempt.
  Duration engine_timeout = Seconds(60);
};

// Runs in the agent's loop. Each attempt has one fiber that reads from the
// engine and any number of connections that follow its log.
class AttemptService {
 public:
  AttemptService(net::NetworkLoop& loop,
                 AttemptServiceOptions options,
                 Incarnation incarnation,
                 TimePoint started,
                 telemetry::Registry& metrics,
                 telemetry::SpanWriter* spans);
  ~AttemptService();

  // A new attempt, or one to follow again, by its header fields.
  void Handle(net::HttpExchange& exchange);

  // Calls by JSON-RPC; nothing where the params are not understood.
  std::optional<boost::json::value> Settle(const boost::json::value& params);
  std::optional<boost::json::value> Cancel(const boost::json::value& params);
  std::optional<boost::json::value> Token(const boost::json::value& params);

  // New work is refused after the gate's grace; what runs goes on.
  void StartDraining();
  void StopNewWork();
  // While held, new attempts are refused at once as not run; what runs goes on.
  // For an engine that can't make progress, so that callers don't wait for it.
  void SetHeld(bool is_held);
  std::size_t running() const;
  attempts::AdmissionToken token() const;

  // The load that the engine reported last; goes out with each answer.
  void SetLoad(std::uint32_t running, std::uint32_t queued);
  // How many requests the engine is found able to run side by side.
  std::size_t limit() const { return limit_.limit(); }

 private:
  struct Attempt;
  using AttemptPointer = std::shared_ptr<Attempt>;

  void HandleStart(net::HttpExchange& exchange, const std::string& start);
  void HandleResume(net::HttpExchange& exchange, const std::string& resume);
  void Refuse(net::HttpExchange& exchange,
              const attempts::AttemptRefusal& refusal);
  void RunOnEngine(const AttemptPointer& attempt);
  void ReadAnswer(const AttemptPointer& attempt, net::HttpClientStream& stream);
  void EndAttempt(const AttemptPointer& attempt, AttemptPhase phase);
  // Tells an entry that an attempt never reached the engine.
  void RefuseWithdrawn(net::HttpExchange& exchange, const Attempt& attempt);
  void WriteSpan(const Attempt& attempt, std::uint64_t started_wall_ns);
  void Follow(net::HttpExchange& exchange,
              const AttemptPointer& attempt,
              std::uint64_t offset);
  bool WaitForHead(net::HttpExchange& exchange, const AttemptPointer& attempt);
  bool StreamLog(net::HttpExchange& exchange,
                 const AttemptPointer& attempt,
                 std::uint64_t offset);
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
