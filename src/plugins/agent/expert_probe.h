// Reads from an engine how many tokens it routes to each expert.

#ifndef PLUGINS_AGENT_EXPERT_PROBE_H_
#define PLUGINS_AGENT_EXPERT_PROBE_H_

#include <functional>
#include <optional>
#include <vector>

#include "libs/groups/expert_counts.h"
#include "libs/net/endpoint.h"
#include "libs/net/http_client.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::agent {

// Polls the running totals in "experts" of GET /load once a second and reports
// the difference between two polls: window, number of layers and experts, and
// tokens. The other fields are left empty. Nothing is reported for an engine
// without these totals.
class ExpertProbe {
 public:
  using OnCounts = std::function<void(groups::ExpertCounts)>;

  ExpertProbe(net::NetworkLoop& loop, net::Endpoint engine, OnCounts on_counts);

  void Start();

 private:
  struct Totals {
    TimePoint read_at;
    std::uint32_t layers = 0;
    std::uint32_t experts = 0;
    std::vector<std::uint64_t> tokens;
  };

  std::optional<Totals> Poll();
  void Report(const Totals& before, const Totals& after);

  net::NetworkLoop& loop_;
  net::Endpoint engine_;
  OnCounts on_counts_;
  net::HttpClient client_;
};

}  // namespace bilberryspool::agent

#endif  // PLUGINS_AGENT_EXPERT_PROBE_H_
