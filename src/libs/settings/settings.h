// The settings of one process: what it must know before it can reach any
// other. All else (services, workspaces, policies) is accepted configuration
// and comes from the control replicas.
//
// A file is checked as a whole before anything starts, so that a typing error
// shows at the start and not hours later as a default that nobody chose.

#ifndef LIBS_SETTINGS_SETTINGS_H_
#define LIBS_SETTINGS_SETTINGS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/settings/socket_address.h"
#include "libs/telemetry/log_level.h"

namespace bilberryspool::settings {

using telemetry::LogLevel;

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  std::string file;  // empty: standard error; "-": standard output
};

struct TraceSettings {
  std::string file;  // empty: no traces
  // Of 1000 requests that arrive without a traceparent, how many are traced.
  std::uint32_t sample_permille = 0;
};

// What each role has.
struct CommonSettings {
  std::string deployment;
  NodeId node;
  FailureDomain failure_domain;
  std::string key_file;
  LogSettings log;
  TraceSettings trace;
};

// A control replica of the first start of a deployment.
struct InitialMember {
  NodeId node;
  SocketAddress address;  // its peers.advertise

  bool operator==(const InitialMember&) const = default;
};

// What an entry takes from one caller or one connection at most.
struct CallerLimits {
  std::uint64_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  std::uint64_t max_open_connections = 0;
  Duration header_timeout{};
  Duration idle_timeout{};
  Duration default_deadline{};
  Duration max_deadline{};
};

struct EntrySettings {
  SocketAddress callers_listen;
  SocketAddress operators_listen;
  std::string operators_credential_file;
  SocketAddress peers_listen;
  SocketAddress peers_advertise;
  std::vector<SocketAddress> seeds;  // may hold the entry's own address
  std::string data_folder;           // empty: no control replica
  std::vector<InitialMember> initial_members;
  CallerLimits limits;
  Duration drain_grace{};
  std::uint32_t network_threads = 0;

  bool is_control_replica() const { return !data_folder.empty(); }
};

// What stands behind an agent.
enum class EngineKind {
  kEngine,  // a model engine, which takes orders and reports its load
  kPlain,   // a plain service, which only answers requests
};

struct EngineSettings {
  SocketAddress address;
  EngineKind kind = EngineKind::kEngine;
  // True where the engine refuses an order with an old fencing token.
  bool checks_fencing = false;
};

// The place of a target in an expert-parallel model group.
struct GroupPlace {
  GroupId group;
  RankIndex rank;

  bool operator==(const GroupPlace&) const = default;
};

struct AgentSettings {
  SocketAddress listen;
  SocketAddress advertise;
  std::vector<SocketAddress> entries;
  TargetId target;
  EngineSettings engine;
  std::vector<ServiceId> services;
  std::uint32_t capacity_slots = 0;
  Duration drain_grace{};
  std::optional<GroupPlace> group_place;
};

// How many sends beyond the first of each request a service may get from all
// gateways together, in any window.
struct RetryLimits {
  double ratio = 0.0;  // of the requests for the service
  double slack = 0.0;  // requests on top of that, in each window
  Duration window{};
};

// An entry without agents: it calls the targets themselves and keeps nothing
// on a disk.
struct GatewaySettings {
  SocketAddress callers_listen;
  SocketAddress readiness_listen;
  std::vector<SocketAddress> seeds;  // of control nodes
  std::uint32_t control_peers_port = 0;
  SocketAddress metrics_listen;
  std::uint64_t max_open_connections = 0;
  Duration drain_grace{};
  RetryLimits retries;
};

// A control replica that serves no callers.
struct ControlSettings {
  SocketAddress operators_listen;
  SocketAddress peers_listen;
  // Where others reach it; names the replica.
  SocketAddress peers_advertise;
  SocketAddress metrics_listen;
  std::vector<SocketAddress> seeds;  // of control nodes
  std::string data_folder;
  // Only true at the first start of a deployment, when all disks are empty.
  bool is_first_start = false;
  // Data folders that may be lost at the same time.
  std::uint32_t tolerated_losses = 0;
  Duration announcement_interval{};
  Duration drain_grace{};
};

// Stands beside one engine and relays to it.
struct SidecarSettings {
  SocketAddress peers_listen;
  SocketAddress engine;
};

// The settings of one process; `role` holds those of its role.
struct Settings {
  CommonSettings common;
  std::variant<EntrySettings,
               AgentSettings,
               GatewaySettings,
               ControlSettings,
               SidecarSettings>
      role;
};

}  // namespace bilberryspool::settings

#endif  // LIBS_SETTINGS_SETTINGS_H_
