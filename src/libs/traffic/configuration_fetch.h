// When a gateway fetches the text of a new configuration, and from which
// control node.
//
// All control nodes have the same text, and the one that leads tells of it
// first. If every gateway then asked that one, a text of half a megabyte would
// leave it dozens of times over one link, and gateways that wait for theirs
// would ask further nodes for the same text: it took 1.3 to 2.3 s to reach 39
// gateways. So where the text is large each gateway waits a moment for a node
// of its own, and asks nobody else while a fetch has had less time than its
// size needs.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_TRAFFIC_CONFIGURATION_FETCH_H_
#define LIBS_TRAFFIC_CONFIGURATION_FETCH_H_

#include <cstdint>

#include "libs/base/time.h"

namespace bilberryspool::traffic {

struct ConfigurationFetchOptions {
  // A fetch that has had this long, and the time of its size at this rate, has
  // failed. The slowest links give ten times the rate.
  Duration base_timeout = Milliseconds(300);
  double bytes_per_second = 500'000.0;
  // Up to this much for all gateways together one node is enough: 0.3 s of a
  // link of 170 Mbit/s. To wait for more nodes would take longer than that.
  std::uint64_t single_node_max_bytes = 6'000'000;
  // How long a node of one's own is waited for. Followers of the log learn what
  // is in force a little after the one that leads.
  Duration home_node_timeout = Milliseconds(400);
};

// What a control node tells of a configuration.
struct ReportedConfiguration {
  std::uint64_t version = 0;
  std::uint64_t bytes = 0;
  std::uint64_t gateways = 0;  // that will ask for it
  // Whether the node that tells is this gateway's own among those it reaches.
  bool is_from_home_node = false;
};

class ConfigurationFetch {
 public:
  explicit ConfigurationFetch(ConfigurationFetchOptions options)
      : options_(options) {}

  // Whether to ask the node that tells, now; it is taken to be asked then.
  bool ShouldStart(const ReportedConfiguration& reported,
                   std::uint64_t version_in_force,
                   TimePoint now);
  // The node that was asked for it did not answer.
  void OnFailed() { fetching_version_ = 0; }

 private:
  ConfigurationFetchOptions options_;
  std::uint64_t newest_version_ = 0;  // the newest version heard of
  TimePoint newest_reported_at_;
  std::uint64_t fetching_version_ = 0;
  TimePoint fetch_ends_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_CONFIGURATION_FETCH_H_
