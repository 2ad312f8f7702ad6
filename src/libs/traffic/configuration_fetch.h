// Decides when a gateway fetches the text of a new configuration, and from
// which control node.
//
// All control nodes have the same text, and the leader reports it first. If
// every gateway then asked the leader, a text of half a megabyte would be sent
// dozens of times over one link, and gateways that wait for it would ask
// further nodes for the same text; it took 1.3 to 2.3 s to reach 39 gateways.
// Therefore, if the text is large, each gateway waits for its own control node
// for a short time, and asks no other node until a fetch has had the time that
// its size needs.
//
// Pure: takes events and `now`, has no input or output.

#ifndef LIBS_TRAFFIC_CONFIGURATION_FETCH_H_
#define LIBS_TRAFFIC_CONFIGURATION_FETCH_H_

#include <cstdint>

#include "libs/base/time.h"

namespace bilberryspool::traffic {

struct ConfigurationFetchOptions {
  // A fetch has failed after this time plus the time for its size at this rate.
  // The slowest links have ten times the rate.
  Duration base_timeout = Milliseconds(300);
  double bytes_per_second = 500'000.0;
  // Maximum total size for all gateways that is fetched from a single node; it
  // takes 0.3 s on a 170 Mbit/s link. Waiting for more nodes would take longer.
  std::uint64_t single_node_max_bytes = 6'000'000;
  // How long to wait for the gateway's own node. Followers of the log learn of
  // an accepted configuration slightly later than the leader.
  Duration home_node_timeout = Milliseconds(400);
};

// A configuration as reported by a control node.
struct ReportedConfiguration {
  std::uint64_t version = 0;
  std::uint64_t bytes = 0;
  std::uint64_t gateways = 0;  // number of gateways that will fetch it
  // Whether the reporting node is this gateway's own among those that it can
  // reach.
  bool is_from_home_node = false;
};

class ConfigurationFetch {
 public:
  explicit ConfigurationFetch(ConfigurationFetchOptions options)
      : options_(options) {}

  // Whether to fetch the configuration from the reporting node now. If so, the
  // fetch counts as started.
  bool ShouldStart(const ReportedConfiguration& reported,
                   std::uint64_t version_in_force,
                   TimePoint now);
  // Call when the node that was asked did not respond.
  void OnFailed() { fetching_version_ = 0; }

 private:
  ConfigurationFetchOptions options_;
  std::uint64_t newest_version_ = 0;  // newest version reported by any node
  TimePoint newest_reported_at_;
  std::uint64_t fetching_version_ = 0;
  TimePoint fetch_ends_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_CONFIGURATION_FETCH_H_
