// Finds the route of a request and the workspace that it belongs to.

#ifndef LIBS_TRAFFIC_ROUTE_TABLE_H_
#define LIBS_TRAFFIC_ROUTE_TABLE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "libs/traffic/traffic_configuration.h"

namespace bilberryspool::traffic {

struct NoRoute {};
// The request has no key or one that belongs to no workspace.
struct KeyUnknown {};

// A request that the configuration allows.
struct RouteMatch {
  const Route* route = nullptr;
  // Null for an anonymous request.
  const KeyHolder* holder = nullptr;
  Urgency urgency;
};

using RouteOutcome = std::variant<RouteMatch, NoRoute, KeyUnknown>;

// An index over one configuration, which it keeps alive. Immutable.
class RouteTable {
 public:
  explicit RouteTable(
      std::shared_ptr<const TrafficConfiguration> configuration);

  // `host` is normalized, `path` has no query; `key` is empty if the request
  // has none.
  RouteOutcome Match(std::string_view host,
                     std::string_view path,
                     std::string_view key) const;

  const TrafficConfiguration& configuration() const { return *configuration_; }
  // What the routes to `service` ask of it.
  const ServiceDemands& DemandsOf(const ServiceId& service) const;
  // Position of the urgency among those of the service; 0 is the most urgent.
  std::uint32_t UrgencyRankOf(const ServiceId& service,
                              const Urgency& urgency) const;

 private:
  const Route* FindRoute(std::string_view host, std::string_view path) const;

  std::shared_ptr<const TrafficConfiguration> configuration_;
  std::map<ServiceId, ServiceDemands> demands_;
  // By normalized host, then by path prefix.
  std::map<std::string,
           std::map<std::string, const Route*, std::less<>>,
           std::less<>>
      routes_;
};

// Chooses the service for a request according to the weights of the splits.
// `draw` is a uniform random number in [0, 1).
const ServiceId& ChooseService(const Route& route, double draw);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_ROUTE_TABLE_H_
