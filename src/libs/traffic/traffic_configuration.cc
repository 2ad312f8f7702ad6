#include "libs/traffic/traffic_configuration.h"

#include <algorithm>
#include <set>
#include <utility>

#include "libs/traffic/host_name.h"

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

Urgency UrgencyOf(const Route& route, const KeyHolder* holder) {
  const std::uint32_t priority =
      holder == nullptr ? route.priority
                        : holder->priority.value_or(route.priority);
  return {priority, route.priority};
}

std::map<ServiceId, ServiceDemands> DemandsByService(
    const TrafficConfiguration& configuration) {
  std::set<std::optional<std::uint32_t>> of_holders;
  for (const auto& [key, holder] : configuration.keys) {
    of_holders.insert(holder.priority);
  }
  std::map<ServiceId, ServiceDemands> by_service;
  std::map<ServiceId, std::set<Urgency>> urgencies;
  for (const Route& route : configuration.routes) {
    for (const Split& split : route.splits) {
      if (split.weight == 0) {
        continue;
      }
      ServiceDemands& demands = by_service[split.service];
      if (of_holders.empty() || route.allows_anonymous) {
        urgencies[split.service].insert(UrgencyOf(route, nullptr));
      }
      for (const auto& priority : of_holders) {
        const KeyHolder holder{Workspace(), priority};
        urgencies[split.service].insert(UrgencyOf(route, &holder));
      }
      if (route.max_gap > Duration::zero()) {
        demands.shortest_gap =
            demands.shortest_gap == Duration::zero()
                ? route.max_gap
                : std::min(demands.shortest_gap, route.max_gap);
      }
    }
  }
  for (auto& [service, demands] : by_service) {
    const std::set<Urgency>& sorted = urgencies[service];
    demands.urgencies.assign(sorted.begin(), sorted.end());
    demands.has_urgent_routes =
        std::any_of(sorted.begin(), sorted.end(), [&](const Urgency& urgency) {
          return urgency.route_priority != sorted.begin()->route_priority;
        });
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
  if (!configuration.unreadable_member.empty()) {
    return "member " + configuration.unreadable_member + " is not of its type";
  }
  std::set<std::pair<std::string, std::string>> places;
  for (const Route& route : configuration.routes) {
    if (auto fault = FindFault(route, configuration)) {
      return fault;
    }
    const std::string host = NormalizeHost(route.host);
    if (!places.insert({host, route.path_prefix}).second) {
      return "two routes share " + host + route.path_prefix;
    }
  }
  return std::nullopt;
}

}  // namespace bilberryspool::traffic
