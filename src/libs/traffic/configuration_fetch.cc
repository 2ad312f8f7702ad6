#include "libs/traffic/configuration_fetch.h"

namespace bilberryspool::traffic {

bool ConfigurationFetch::ShouldStart(const ReportedConfiguration& reported,
                                     std::uint64_t version_in_force,
                                     TimePoint now) {
  if (reported.version <= version_in_force) {
    return false;
  }
  if (reported.version > newest_version_) {
    newest_version_ = reported.version;
    newest_reported_at_ = now;
  }
  const bool is_under_way =
      fetching_version_ >= reported.version && now < fetch_ends_;
  const bool is_large =
      reported.bytes * reported.gateways > options_.single_node_max_bytes;
  const bool waits_for_home_node =
      is_large && !reported.is_from_home_node &&
      now - newest_reported_at_ < options_.home_node_timeout;
  if (is_under_way || waits_for_home_node) {
    return false;
  }
  constexpr double kMicrosecondsPerSecond = 1e6;
  const Duration transfer(static_cast<Duration::rep>(
      static_cast<double>(reported.bytes) / options_.bytes_per_second *
      kMicrosecondsPerSecond));
  fetching_version_ = reported.version;
  fetch_ends_ = now + options_.base_timeout + transfer;
  return true;
}

}  // namespace bilberryspool::traffic
