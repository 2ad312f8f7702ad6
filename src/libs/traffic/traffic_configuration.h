// A whole configuration of the traffic: which requests there are, which
// services run them and whose keys are valid. It is numbered from outside and
// replaced as a whole.

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

// What may be repeated.
enum class RequestKind {
  kIdempotent,     // may run more than once
  kNonIdempotent,  // at most once for each request id
  kStream,         // a series of events; repeated only where it may be resumed
};

// One way that a route's requests may go.
struct Split {
  ServiceId service;
  std::uint64_t weight = 0;

  bool operator==(const Split&) const = default;
};

struct Route {
  std::string name;
  std::string host;
  // Begins and ends with a slash; the longest one that begins a path wins.
  std::string path_prefix;
  RequestKind kind = RequestKind::kNonIdempotent;
  std::vector<Split> splits;
  // Targets that one request may be sent to, at most.
  std::uint32_t attempts = 1;
  // The longest that a caller may be kept waiting.
  Duration timeout{};
  // Within this time the answer, or its first event, is worth most.
  Duration objective{};
  // The longest pause between two events for which a stream is on time; zero
  // where there is none.
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

// How long the steps of an engine take; from its own description.
struct EngineModel {
  std::uint32_t slots = 0;
  Duration step{};              // one token of one request alone
  Duration step_per_request{};  // on top, for each request of the batch
  // The part of it that experts do.
  double expert_share = 0.0;
  double prompt_tokens_per_second = 0.0;
  std::uint32_t tokens_per_event = 1;
  // Layers of experts that runs of one group share; 0: no experts.
  std::uint32_t expert_layers = 0;
  std::uint32_t experts_per_layer = 0;
  std::uint32_t expert_places = 0;  // of one rank in one layer
  // Experts of one layer that a rank can take in by one change of map.
  std::uint32_t new_experts = 0;
  Duration expert_copy{};  // of one expert to a rank; they follow each other

  bool operator==(const EngineModel&) const = default;
};

struct Service {
  ServiceId id;
  std::string health_path;
  std::uint32_t max_connections = 0;
  std::optional<EngineModel> engine;

  bool operator==(const Service&) const = default;
};

// Whose request it is, by the key that it shows.
struct KeyHolder {
  Workspace workspace;
  // Goes before the route's.
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
  // False: the deployment knows no keys and every request is anonymous.
  bool has_workspaces = false;
  CallerBounds bounds;
};

// What is wrong with a configuration as a whole, in one sentence; nothing
// where it is valid. A configuration that is in force has passed this.
std::optional<std::string> FindFault(const TrafficConfiguration& configuration);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TRAFFIC_CONFIGURATION_H_
