// How to reach the agents, and the admission tokens they issued.

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

// Reads "INCARNATION.GENERATION.EPOCH".
std::optional<attempts::AdmissionToken> ParseToken(std::string_view text);

// Runs in the callers loop.
class AgentRegistry {
 public:
  explicit AgentRegistry(links::LinkClient& client) : client_(client) {}

  void Adopt(const std::vector<control::TargetRow>& targets);
  std::optional<net::Endpoint> Find(const TargetId& target) const;

  // Notes the token on an agent's answer.
  void RecordToken(const TargetId& target,
                   std::string_view text,
                   TimePoint now);
  // A token that is still good for some time; asks the agent where there is
  // none. Nothing where the agent doesn't answer.
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
