#include "libs/traffic/gateway_census.h"

namespace bilberryspool::traffic {

namespace {

// Time after a start in which all gateways that reach the node query it.
constexpr Duration kSettlingTime = Seconds(3);
constexpr Duration kRetention = Seconds(60);

}  // namespace

void GatewayCensus::OnQuery(const std::string& gateway, TimePoint now) {
  last_query_at_.insert_or_assign(gateway, now);
}

std::uint64_t GatewayCensus::CountSharers(bool is_leader, TimePoint now) {
  std::erase_if(last_query_at_, [&](const auto& item) {
    return now - item.second > kRetention;
  });
  const bool can_know = is_leader && now - started_at_ >= kSettlingTime;
  return can_know ? last_query_at_.size() : 0;
}

}  // namespace bilberryspool::traffic
