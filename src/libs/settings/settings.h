// The settings of one process: what it must know before it can reach any other
// process. Everything else (services, workspaces, policies) is part of the
// configuration, which comes from the control replicas.
//
// A file is checked as a whole before anything starts, so that a typing error
// is reported at the start and does not silently select a default that shows
// its effect hours later.

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
  // Number of traced requests per 1000 requests that arrive without a
  // traceparent.
  std::uint32_t sample_permille = 0;
};

// Settings common to all roles.
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
  SocketAddress address;  // the value of its peers.advertise

  bool operator==(const InitialMember&) const = default;
};

// Limits of an entry for each caller or connection.
struct CallerLimits {
  std::uint64_t max_header_bytes = 0;
  std::uint64_t max_body_bytes = 0;
  std::uint64_t max_open_connections = 0;
  double memory_mb = 0.0;
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
  std::vector<SocketAddress> seeds;  // may include the entry's own address
  std::string data_folder;           // empty: not a control replica
  std::vector<InitialMember> initial_members;
  CallerLimits limits;
  Duration drain_grace{};
  std::uint32_t network_threads = 0;

  bool is_control_replica() const { return !data_folder.empty(); }
};

// The kind of process that an agent serves.
enum class EngineKind {
  kEngine,  // a model engine, which takes orders and reports its load
  kPlain,   // a plain service, which only serves requests
};

struct EngineSettings {
  SocketAddress address;
  EngineKind kind = EngineKind::kEngine;
  // True if the engine refuses orders with an old fencing token.
  bool checks_fencing = false;
};

// The position of a target in an expert-parallel model group.
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

// Limits for the sends beyond the first of each request that a service may
// receive from all gateways together in any window.
struct RetryLimits {
  double ratio = 0.0;  // as a fraction of the requests for the service
  double slack = 0.0;  // additional sends per window
  Duration window{};
};

// What all gateways together may send to a cold target beyond the rate that its
// service declares.
struct ColdTargetLimits {
  double overage = 1.0;  // part of the declared rate
  double slack = 0.0;    // requests per second in addition
};

// Settings of a gateway: an entry without agents, which calls the targets
// directly and stores nothing on disk.
struct GatewaySettings {
  SocketAddress callers_listen;
  SocketAddress readiness_listen;
  std::vector<SocketAddress> seeds;  // of control nodes
  std::uint32_t control_peers_port = 0;
  // Port of the sidecar on the VM of each target; none: no VM is probed.
  std::optional<std::uint32_t> sidecars_port;
  SocketAddress metrics_listen;
  std::uint64_t max_open_connections = 0;
  double memory_mb = 0.0;
  Duration drain_grace{};
  RetryLimits retries;
  ColdTargetLimits cold_targets;
};

// Settings of a control replica that serves no callers.
struct ControlSettings {
  SocketAddress operators_listen;
  SocketAddress peers_listen;
  // Address by which other processes reach it; also the name of the replica.
  SocketAddress peers_advertise;
  SocketAddress metrics_listen;
  std::vector<SocketAddress> seeds;  // of control nodes
  std::string data_folder;
  // Must be true only at the first start of a deployment, when all disks are
  // empty.
  bool is_first_start = false;
  // Number of data folders that may be lost at the same time.
  std::uint32_t tolerated_losses = 0;
  // Whether the leader sends the loads of groups to the gateways.
  bool shares_group_loads = false;
  Duration announcement_interval{};
  Duration drain_grace{};
  double memory_mb = 0.0;
};

// Settings of a sidecar, which runs beside one engine and relays to it.
struct SidecarSettings {
  SocketAddress peers_listen;
  SocketAddress engine;
  double memory_mb = 0.0;
};

// The settings of one process; `role` holds the settings specific to its role.
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
