// The complete configuration of the traffic: the routes of requests, the
// services that run them and the valid keys. Its version is assigned outside,
// and it is always replaced as a whole.

#ifndef LIBS_TRAFFIC_TRAFFIC_CONFIGURATION_H_
#define LIBS_TRAFFIC_TRAFFIC_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::traffic {

// Whether and how requests of a route may be repeated.
enum class RequestKind {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // at most once for each request id
  kStream,         // a series of events; repeated only if it may be resumed
};

// A service that takes a share of a route's requests.
struct Split {
  ServiceId service;
  std::uint64_t weight = 0;

  bool operator==(const Split&) const = default;
};

struct Route {
  std::string name;
  std::string host;  // as it was written; see NormalizeHost()
  // Begins and ends with a slash. The longest prefix of a path wins.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  std::vector<Split> splits;
  // Maximum number of targets that one request may be sent to.
  std::uint32_t attempts = 1;
  // Maximum time until the caller gets a response.
  Duration timeout{};
  // Time within which the response, or its first event, is worth most.
  Duration objective{};
  // Maximum time between two events of a stream that is on time; zero if there
  // is no limit.
  Duration max_gap{};
  std::uint32_t priority = 0;  // 0 is the most urgent
  bool allows_anonymous = false;
  bool may_resume = false;

  bool may_repeat() const {
    return kind == RequestKind::kIdempotent ||
           (kind == RequestKind::kStream && may_resume);
  }
  bool operator==(const Route&) const = default;
};

// The duration of engine steps, as the engine describes itself.
struct EngineModel {
  std::uint32_t slots = 0;
  Duration step{};              // for one token of a single request
  Duration step_per_request{};  // in addition, per request in the batch
  // Share of the time per request that is spent in experts.
  double expert_share = 0.0;
  double prompt_tokens_per_second = 0.0;
  std::uint32_t tokens_per_event = 1;
  // Number of expert layers that the runs of a group share; 0 without experts.
  std::uint32_t expert_layers = 0;
  std::uint32_t experts_per_layer = 0;
  std::uint32_t expert_places = 0;  // per rank and layer
  // Maximum number of experts of one layer that a rank can add in one map
  // change.
  std::uint32_t new_experts = 0;
  Duration expert_copy{};  // of one expert to a rank; copies are sequential

  bool operator==(const EngineModel&) const = default;
};

struct Service {
  ServiceId id;
  std::string health_path;
  std::uint32_t max_connections = 0;
  // Requests per second from all gateways that a target tolerates while it is
  // cold; 0 if the service declares no limit.
  double cold_start_rate = 0.0;
  std::optional<EngineModel> engine;

  bool operator==(const Service&) const = default;
};

// The owner of a key.
struct KeyHolder {
  Workspace workspace;
  // Goes before the route's priority.
  std::optional<std::uint32_t> priority;

  bool operator==(const KeyHolder&) const = default;
};

struct CallerBounds {
  std::uint64_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  Duration header_timeout{};
  Duration idle_timeout{};

  bool operator==(const CallerBounds&) const = default;
};

struct TrafficConfiguration {
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::map<ServiceId, Service> services;
  std::map<std::string, KeyHolder> keys;
  // If false, the deployment has no keys and every request is anonymous.
  bool has_workspaces = false;
  CallerBounds bounds;
  // An optional member that could not be read, so that its default is used;
  // empty if there is none. Only configurations that were accepted by earlier
  // versions have one in force.
  std::string unreadable_member;
};

// How urgent a request is; the lowest value goes first. Among requests whose
// workspaces have the same priority, that of the route decides.
struct Urgency {
  std::uint32_t priority = 0;  // the workspace's, or else the route's
  std::uint32_t route_priority = 0;

  auto operator<=>(const Urgency&) const = default;
};
Urgency UrgencyOf(const Route& route, const KeyHolder* holder);

// What the routes to a service ask of it together.
struct ServiceDemands {
  // The different urgencies of its requests, the most urgent first.
  std::vector<Urgency> urgencies;
  // Whether its routes differ in priority. Where they don't, workspaces'
  // priorities decide who goes first, but nobody is refused for them: they say
  // nothing about the work, and the less urgent ones may be most of it.
  bool has_urgent_routes = false;
  // The shortest `max_gap` of the routes that have one; zero without any.
  Duration shortest_gap{};
};
std::map<ServiceId, ServiceDemands> DemandsByService(
    const TrafficConfiguration& configuration);

// The services that declare a limit for cold targets, in requests per second.
std::map<ServiceId, double> ColdStartRates(
    const TrafficConfiguration& configuration);

// Describes what is wrong with a configuration as a whole, in one sentence;
// nothing if it is valid. A configuration in force has passed this check.
std::optional<std::string> FindFault(const TrafficConfiguration& configuration);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TRAFFIC_CONFIGURATION_H_
