#include "libs/traffic/traffic_configuration.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bilberryspool::traffic {

namespace {

std::optional<std::string> FindFault(const Route& route,
                                     const TrafficConfiguration& whole) {
  if (route.timeout <= Duration::zero()) {
    return "route " + route.name + " has no timeout";
  }
  std::uint64_t weight = 0;
  for (const Split& split : route.splits) {
    if (whole.services.count(split.service) == 0) {
      return "route " + route.name + " names the unknown service " +
             split.service.value();
    }
    weight += split.weight;
  }
  if (weight == 0) {
    return "the weights of route " + route.name + " add up to 0";
  }
  return std::nullopt;
}

}  // namespace

std::map<ServiceId, ServiceDemands> DemandsByService(
    const TrafficConfiguration& configuration) {
  std::map<ServiceId, ServiceDemands> by_service;
  for (const Route& route : configuration.routes) {
    for (const Split& split : route.splits) {
      if (split.weight == 0) {
        continue;
      }
      ServiceDemands& demands = by_service[split.service];
      std::vector<std::uint32_t>& priorities = demands.priorities;
      const auto place = std::lower_bound(priorities.begin(), priorities.end(),
                                          route.priority);
      if (place == priorities.end() || *place != route.priority) {
        priorities.insert(place, route.priority);
      }
      if (route.max_gap > Duration::zero()) {
        demands.shortest_gap =
            demands.shortest_gap == Duration::zero()
                ? route.max_gap
                : std::min(demands.shortest_gap, route.max_gap);
      }
    }
  }
  return by_service;
}

std::map<ServiceId, double> ColdStartRates(
    const TrafficConfiguration& configuration) {
  std::map<ServiceId, double> rates;
  for (const auto& [id, service] : configuration.services) {
    if (service.cold_start_rate > 0.0) {
      rates[id] = service.cold_start_rate;
    }
  }
  return rates;
}

std::optional<std::string> FindFault(
    const TrafficConfiguration& configuration) {
  if (configuration.version == 0) {
    return "the version is 0";
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : configuration.routes) {
    if (auto fault = FindFault(route, configuration)) {
      return fault;
    }
    if (!places.insert({route.host, route.path_prefix}).second) {
      return "two routes share " + route.host + route.path_prefix;
    }
  }
  return std::nullopt;
}

}  // namespace bilberryspool::traffic
