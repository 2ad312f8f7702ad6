// Requests to self-stepping engines, and the parsing of their answers; chosen
// by the application.

#ifndef PLUGINS_SIDECAR_ENGINE_PROTOCOL_H_
#define PLUGINS_SIDECAR_ENGINE_PROTOCOL_H_

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

#include "libs/groups/engine_order.h"
#include "libs/net/http_message.h"

namespace bilberryspool::sidecar {

// The experts of one rank, by layer.
struct RankExperts {
  groups::GroupEpoch epoch;
  MapVersion version;
  std::vector<std::vector<ExpertIndex>> experts;
};

struct EngineProtocol {
  std::function<net::HttpRequest()> report_request;
  std::function<std::optional<groups::EngineReport>(std::string_view body)>
      read_report;
  std::function<net::HttpRequest()> picks_request;
  std::function<std::optional<groups::ExpertPicks>(std::string_view body)>
      read_picks;
  std::function<net::HttpRequest()> experts_request;
  std::function<std::optional<RankExperts>(std::string_view body)> read_experts;
  // `ranks` is the size of the group.
  std::function<net::HttpRequest(const groups::RankOrder& order,
                                 std::uint32_t ranks)>
      order_request;
  std::function<groups::OrderAnswer(int status)> read_answer;
};

}  // namespace bilberryspool::sidecar

#endif  // PLUGINS_SIDECAR_ENGINE_PROTOCOL_H_
