#include "libs/traffic/route_table.h"

#include <utility>

#include "libs/traffic/host_name.h"

namespace bilberryspool::traffic {

RouteTable::RouteTable(
    std::shared_ptr<const TrafficConfiguration> configuration)
    : configuration_(std::move(configuration)),
      demands_(DemandsByService(*configuration_)) {
  for (const Route& route : configuration_->routes) {
    const std::string host = NormalizeHost(route.host);
    const Route*& entry = routes_[host][route.path_prefix];
    // Configurations that earlier versions accepted may have several.
    if (entry == nullptr || route.host == host) {
      entry = &route;
    }
  }
}

const ServiceDemands& RouteTable::DemandsOf(const ServiceId& service) const {
  static const ServiceDemands kNone;
  const auto found = demands_.find(service);
  return found == demands_.end() ? kNone : found->second;
}

std::uint32_t RouteTable::UrgencyRankOf(const ServiceId& service,
                                        const Urgency& urgency) const {
  const std::vector<Urgency>& urgencies = DemandsOf(service).urgencies;
  return static_cast<std::uint32_t>(std::distance(
      urgencies.begin(),
      std::lower_bound(urgencies.begin(), urgencies.end(), urgency)));
}

// Prefixes end with a slash, so only the prefixes of `path` that end with a
// slash are looked up, the longest first.
const Route* RouteTable::FindRoute(std::string_view host,
                                   std::string_view path) const {
  const auto prefixes = routes_.find(host);
  if (prefixes == routes_.end()) {
    return nullptr;
  }
  std::size_t slash = path.rfind('/');
  while (slash != std::string_view::npos) {
    const auto found = prefixes->second.find(path.substr(0, slash + 1));
    if (found != prefixes->second.end()) {
      return found->second;
    }
    if (slash == 0) {
      break;
    }
    slash = path.rfind('/', slash - 1);
  }
  return nullptr;
}

RouteOutcome RouteTable::Match(std::string_view host,
                               std::string_view path,
                               std::string_view key) const {
  const Route* route = FindRoute(host, path);
  if (route == nullptr) {
    return NoRoute{};
  }
  RouteMatch match{route, nullptr, UrgencyOf(*route, nullptr)};
  if (!configuration_->has_workspaces) {
    return match;
  }
  const auto held = configuration_->keys.find(std::string(key));
  // A request without a key has none, even if a workspace lists an empty one.
  if (!key.empty() && held != configuration_->keys.end()) {
    match.holder = &held->second;
    match.urgency = UrgencyOf(*route, match.holder);
    return match;
  }
  if (route->allows_anonymous) {
    return match;
  }
  return KeyUnknown{};
}

const ServiceId& ChooseService(const Route& route, double draw) {
  std::uint64_t total = 0;
  for (const Split& split : route.splits) {
    total += split.weight;
  }
  double left = draw * static_cast<double>(total);
  for (const Split& split : route.splits) {
    left -= static_cast<double>(split.weight);
    if (left < 0.0) {
      return split.service;
    }
  }
  return route.splits.back().service;
}

}  // namespace bilberryspool::traffic
