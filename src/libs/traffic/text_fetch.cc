#include "libs/traffic/text_fetch.h"

namespace bilberryspool::traffic {

bool TextFetch::ShouldStart(const ToldText& told,
                            std::uint64_t version_in_force,
                            TimePoint now) {
  if (told.version <= version_in_force) {
    return false;
  }
  if (told.version > told_) {
    told_ = told.version;
    told_at_ = now;
  }
  const bool is_under_way = fetching_ >= told.version && now < fetch_ends_;
  const bool is_large = told.bytes * told.gateways > options_.one_node_bytes;
  const bool waits_for_home =
      is_large && !told.is_from_home && now - told_at_ < options_.home_patience;
  if (is_under_way || waits_for_home) {
    return false;
  }
  constexpr double kMicrosecondsPerSecond = 1e6;
  const Duration transfer(static_cast<Duration::rep>(
      static_cast<double>(told.bytes) / options_.bytes_per_second *
      kMicrosecondsPerSecond));
  fetching_ = told.version;
  fetch_ends_ = now + options_.patience + transfer;
  return true;
}

}  // namespace bilberryspool::traffic
