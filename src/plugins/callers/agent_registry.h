// The addresses of the agents and the admission tokens that they issued.

#ifndef PLUGINS_CALLERS_AGENT_REGISTRY_H_
#define PLUGINS_CALLERS_AGENT_REGISTRY_H_

#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "libs/attempts/attempt_ids.h"
#include "libs/links/link_client.h"
#include "libs/net/endpoint.h"
#include "plugins/control/control_feed.h"

namespace bilberryspool::callers {

// Parses "INCARNATION.GENERATION.EPOCH". Returns nothing if `text` is
// malformed.
std::optional<attempts::AdmissionToken> ParseToken(std::string_view text);

// Used in the callers loop only.
class AgentRegistry {
 public:
  explicit AgentRegistry(links::LinkClient& client) : client_(client) {}

  // Replaces the known targets. Tokens of targets whose agent is unchanged are
  // kept.
  void Adopt(const std::vector<control::TargetRow>& targets);
  std::optional<net::Endpoint> Find(const TargetId& target) const;

  // Records the token of an answer of the target's agent, unless a newer one is
  // known.
  void RecordToken(const TargetId& target,
                   std::string_view text,
                   TimePoint now);
  // A token that remains valid for some time. Requests one from the agent if
  // none is known; returns nothing if the agent does not answer. Suspends the
  // fiber.
  std::optional<attempts::AdmissionToken> FreshToken(const TargetId& target);

 private:
  struct Row {
    net::Endpoint endpoint;
    Incarnation incarnation;
    std::optional<attempts::AdmissionToken> token;
    TimePoint received_at;
  };

  std::optional<attempts::AdmissionToken> RequestToken(
      const net::Endpoint& endpoint);

  links::LinkClient& client_;
  std::map<TargetId, Row> rows_;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_AGENT_REGISTRY_H_
