#include "libs/settings/key_table.h"

#include <cmath>
#include <type_traits>

namespace bilberryspool::settings {
namespace {

constexpr std::int64_t kDayMs = 24LL * 60 * 60 * 1000;
constexpr std::int64_t kHeaderBytes = 16LL * 1024;
constexpr std::int64_t kMebibyte = 1024LL * 1024;

template <typename Field>
struct IsVectorOfIds : std::false_type {};
template <typename Tag>
struct IsVectorOfIds<std::vector<StringId<Tag>>> : std::true_type {};

LogLevel ToLogLevel(const std::string& text) {
  if (text == "debug") {
    return LogLevel::kDebug;
  }
  if (text == "warn") {
    return LogLevel::kWarn;
  }
  return text == "error" ? LogLevel::kError : LogLevel::kInfo;
}

void Assign(LogLevel& field, const KeyValue& value) {
  field = ToLogLevel(std::get<std::string>(value));
}

void Assign(EngineKind& field, const KeyValue& value) {
  const bool is_plain = std::get<std::string>(value) == "plain";
  field = is_plain ? EngineKind::kPlain : EngineKind::kEngine;
}

// Integers are milliseconds, floating-point numbers are seconds.
void Assign(Duration& field, const KeyValue& value) {
  if (const auto* seconds = std::get_if<double>(&value)) {
    constexpr double kMicrosecondsPerSecond = 1e6;
    field = Microseconds(std::llround(*seconds * kMicrosecondsPerSecond));
    return;
  }
  field = Milliseconds(std::get<std::int64_t>(value));
}

void Assign(std::uint32_t& field, const KeyValue& value) {
  field = static_cast<std::uint32_t>(std::get<std::int64_t>(value));
}

void Assign(std::optional<std::uint32_t>& field, const KeyValue& value) {
  Assign(field.emplace(), value);
}

void Assign(std::uint64_t& field, const KeyValue& value) {
  field = static_cast<std::uint64_t>(std::get<std::int64_t>(value));
}

void Assign(RankIndex& field, const KeyValue& value) {
  field = RankIndex(static_cast<std::uint32_t>(std::get<std::int64_t>(value)));
}

template <typename Tag>
void Assign(StringId<Tag>& field, const KeyValue& value) {
  field = StringId<Tag>(std::get<std::string>(value));
}

// For types that KeyValue holds directly, and lists of ids.
template <typename Field>
void Assign(Field& field, const KeyValue& value) {
  if constexpr (IsVectorOfIds<Field>::value) {
    const auto& names = std::get<std::vector<std::string>>(value);
    field = Field(names.begin(), names.end());
  } else {
    field = std::get<Field>(value);
  }
}

// These functions return a store function that assigns the field selected by
// `accessor` from the settings of one role.
template <typename Accessor>
auto InCommon(Accessor accessor) {
  return [accessor](Settings& settings, const KeyValue& value) {
    Assign(accessor(settings.common), value);
  };
}

template <typename Accessor>
auto InEntry(Accessor accessor) {
  return [accessor](Settings& settings, const KeyValue& value) {
    Assign(accessor(std::get<EntrySettings>(settings.role)), value);
  };
}

template <typename Accessor>
auto InGateway(Accessor accessor) {
  return [accessor](Settings& settings, const KeyValue& value) {
    Assign(accessor(std::get<GatewaySettings>(settings.role)), value);
  };
}

template <typename Accessor>
auto InSidecar(Accessor accessor) {
  return [accessor](Settings& settings, const KeyValue& value) {
    Assign(accessor(std::get<SidecarSettings>(settings.role)), value);
  };
}

template <typename Accessor>
auto InControl(Accessor accessor) {
  return [accessor](Settings& settings, const KeyValue& value) {
    Assign(accessor(std::get<ControlSettings>(settings.role)), value);
  };
}

template <typename Accessor>
auto InAgent(Accessor accessor) {
  return [accessor](Settings& settings, const KeyValue& value) {
    Assign(accessor(std::get<AgentSettings>(settings.role)), value);
  };
}

DefaultValue Integer(std::int64_t number) {
  return DefaultValue{number};
}

DefaultValue Number(double number) {
  return DefaultValue{number};
}

DefaultValue Text(const char* text) {
  return DefaultValue{std::string(text)};
}

GroupPlace& PlaceOf(AgentSettings& agent) {
  if (!agent.group_place) {
    agent.group_place.emplace();
  }
  return *agent.group_place;
}

using Specs = std::vector<KeySpec>;

void AddCommonKeys(Specs& specs) {
  using S = CommonSettings;
  constexpr auto scope = KeyScope::kAll;
  specs.push_back({"deployment", scope, NameKind{}, Required{},
                   "Name of the deployment; a process of another one is "
                   "refused.",
                   InCommon([](S & s) -> auto& { return s.deployment; })});
  specs.push_back({"node", scope, NameKind{}, Required{},
                   "Name of this process, unlike any other of the deployment.",
                   InCommon([](S & s) -> auto& { return s.node; })});
  specs.push_back({"failure_domain", scope, NameKind{}, Required{},
                   "The zone that this VM shares its fate with.",
                   InCommon([](S & s) -> auto& { return s.failure_domain; })});
  specs.push_back({"key_file", scope, PathKind{}, Required{},
                   "File with the shared key of the links between processes.",
                   InCommon([](S & s) -> auto& { return s.key_file; })});
  specs.push_back({"log.level", scope,
                   ChoiceKind{{"debug", "info", "warn", "error"}}, Text("info"),
                   "Least level that is logged at the start.",
                   InCommon([](S & s) -> auto& { return s.log.level; })});
  specs.push_back(
      {"log.file", scope, PathKind{true}, Text(""),
       "File of the log; empty: standard error; \"-\": standard output.",
       InCommon([](S & s) -> auto& { return s.log.file; })});
  specs.push_back({"trace.file", scope, PathKind{true}, Text(""),
                   "File of the spans, OTLP/JSON lines; empty: no traces.",
                   InCommon([](S & s) -> auto& { return s.trace.file; })});
  specs.push_back(
      {"trace.sample_permille", scope, IntegerKind{0, 1000}, Integer(1000),
       "Of 1000 requests without a traceparent, how many are "
       "traced.",
       InCommon([](S & s) -> auto& { return s.trace.sample_permille; })});
}

void AddEntryAddressKeys(Specs& specs) {
  using S = EntrySettings;
  constexpr auto scope = KeyScope::kEntry;
  specs.push_back({"callers.listen", scope, AddressKind{true}, Required{},
                   "Where callers and the platform's balancer connect.",
                   InEntry([](S & s) -> auto& { return s.callers_listen; })});
  specs.push_back({"operators.listen", scope, AddressKind{true}, Required{},
                   "Where operators connect; nothing of theirs is served on "
                   "callers.listen.",
                   InEntry([](S & s) -> auto& { return s.operators_listen; })});
  specs.push_back(
      {"operators.credential_file", scope, PathKind{}, Required{},
       "File with the credential that operators must show.",
       InEntry([](S & s) -> auto& { return s.operators_credential_file; })});
  specs.push_back({"peers.listen", scope, AddressKind{true}, Required{},
                   "Where the system's other processes connect.",
                   InEntry([](S & s) -> auto& { return s.peers_listen; })});
  specs.push_back({"peers.advertise", scope, AddressKind{}, Required{},
                   "The address by which the other processes reach "
                   "peers.listen.",
                   InEntry([](S & s) -> auto& { return s.peers_advertise; })});
  specs.push_back({"seeds", scope, AddressListKind{},
                   DefaultValue{std::vector<SocketAddress>{}},
                   "peers.advertise of entries to meet first. May name this "
                   "entry itself, so that all entries share one list.",
                   InEntry([](S & s) -> auto& { return s.seeds; })});
}

void AddEntryStateKeys(Specs& specs) {
  using S = EntrySettings;
  constexpr auto scope = KeyScope::kEntry;
  specs.push_back({"data_folder", scope, PathKind{true}, Text(""),
                   "Folder on a disk for the control state; makes the entry a "
                   "control replica. Empty: none.",
                   InEntry([](S & s) -> auto& { return s.data_folder; })});
  specs.push_back({"control.initial_members", scope, MemberListKind{},
                   DefaultValue{std::vector<InitialMember>{}},
                   "The control replicas of the first start, this one among "
                   "them. Empty: joins a control group that runs already.",
                   InEntry([](S & s) -> auto& { return s.initial_members; })});
  specs.push_back({"drain.grace_ms", scope, IntegerKind{0, kDayMs},
                   Integer(600'000),
                   "How long a planned stop waits for requests in progress; "
                   "not below limits.max_deadline_ms.",
                   InEntry([](S & s) -> auto& { return s.drain_grace; })});
  specs.push_back({"network.threads", scope, IntegerKind{1, 64}, Integer(1),
                   "Threads that speak HTTP.",
                   InEntry([](S & s) -> auto& { return s.network_threads; })});
}

constexpr NumberKind kMemoryKind{64.0, 1e6};
constexpr char kMemoryMeaning[] =
    "Memory that the process may take, in MB. What clients send may take "
    "six tenths of what is over 40 MB; beyond that, a request that is not "
    "whole is refused, and silent connections are closed.";

void AddEntryLimitKeys(Specs& specs) {
  using S = EntrySettings;
  constexpr auto scope = KeyScope::kEntry;
  specs.push_back(
      {"limits.max_header_bytes", scope, IntegerKind{1024, kMebibyte},
       Integer(kHeaderBytes), "Longest header of a request.",
       InEntry([](S & s) -> auto& { return s.limits.max_header_bytes; })});
  specs.push_back(
      {"limits.max_body_bytes", scope, IntegerKind{1024, 1024 * kMebibyte},
       Integer(8 * kMebibyte), "Longest body of a request.",
       InEntry([](S & s) -> auto& { return s.limits.max_body_bytes; })});
  specs.push_back(
      {"limits.max_open_connections", scope, IntegerKind{1, 1'000'000},
       Integer(10'000), "Connections of callers open at a time.",
       InEntry([](S & s) -> auto& { return s.limits.max_open_connections; })});
  specs.push_back({"limits.memory_mb", scope, kMemoryKind, Number(512.0),
                   kMemoryMeaning,
                   InEntry([](S & s) -> auto& { return s.limits.memory_mb; })});
  specs.push_back(
      {"limits.header_timeout_ms", scope, IntegerKind{1, kDayMs},
       Integer(10'000), "Time for a caller to send the header of a request.",
       InEntry([](S & s) -> auto& { return s.limits.header_timeout; })});
  specs.push_back(
      {"limits.idle_timeout_ms", scope, IntegerKind{1, kDayMs}, Integer(60'000),
       "Time after which an idle connection is closed.",
       InEntry([](S & s) -> auto& { return s.limits.idle_timeout; })});
  specs.push_back(
      {"limits.default_deadline_ms", scope, IntegerKind{1, kDayMs},
       Integer(120'000), "Deadline of a request that names none.",
       InEntry([](S & s) -> auto& { return s.limits.default_deadline; })});
  specs.push_back(
      {"limits.max_deadline_ms", scope, IntegerKind{1, kDayMs},
       Integer(600'000), "Latest deadline that a request may name.",
       InEntry([](S & s) -> auto& { return s.limits.max_deadline; })});
}

void AddAgentKeys(Specs& specs) {
  using S = AgentSettings;
  constexpr auto scope = KeyScope::kAgent;
  specs.push_back({"listen", scope, AddressKind{true}, Required{},
                   "Where entries connect.",
                   InAgent([](S & s) -> auto& { return s.listen; })});
  specs.push_back({"advertise", scope, AddressKind{}, Required{},
                   "The address by which entries reach listen.",
                   InAgent([](S & s) -> auto& { return s.advertise; })});
  specs.push_back({"entries", scope, AddressListKind{1}, Required{},
                   "peers.advertise of the entries to announce the target to.",
                   InAgent([](S & s) -> auto& { return s.entries; })});
  specs.push_back({"target", scope, NameKind{}, Required{},
                   "Name of the target, unlike any other of the deployment.",
                   InAgent([](S & s) -> auto& { return s.target; })});
  specs.push_back({"services", scope, NameListKind{1}, Required{},
                   "The services that the target can serve.",
                   InAgent([](S & s) -> auto& { return s.services; })});
  specs.push_back({"capacity_slots", scope, IntegerKind{1, 100'000},
                   Integer(16), "Requests that the target runs at a time.",
                   InAgent([](S & s) -> auto& { return s.capacity_slots; })});
  specs.push_back({"drain_grace_ms", scope, IntegerKind{0, kDayMs},
                   Integer(600'000),
                   "How long a planned stop waits for requests in progress.",
                   InAgent([](S & s) -> auto& { return s.drain_grace; })});
}

void AddEngineKeys(Specs& specs) {
  using S = AgentSettings;
  constexpr auto scope = KeyScope::kAgent;
  specs.push_back({"engine.address", scope, AddressKind{}, Required{},
                   "Where the engine or plain service listens.",
                   InAgent([](S & s) -> auto& { return s.engine.address; })});
  specs.push_back({"engine.kind", scope, ChoiceKind{{"engine", "plain"}},
                   Text("engine"), "A model engine or a plain service.",
                   InAgent([](S & s) -> auto& { return s.engine.kind; })});
  specs.push_back(
      {"engine.checks_fencing", scope, FlagKind{}, DefaultValue{false},
       "Whether the engine refuses an order with an old fencing token.",
       InAgent([](S & s) -> auto& { return s.engine.checks_fencing; })});
  specs.push_back({"group.name", scope, NameKind{}, Optional{},
                   "The expert-parallel model group that the target is a rank "
                   "of; needs group.rank.",
                   InAgent([](S & s) -> auto& { return PlaceOf(s).group; })});
  specs.push_back({"group.rank", scope, IntegerKind{0, 4095}, Optional{},
                   "Rank of the target in its group; needs group.name.",
                   InAgent([](S & s) -> auto& { return PlaceOf(s).rank; })});
}

void AddGatewayKeys(Specs& specs) {
  using S = GatewaySettings;
  constexpr auto scope = KeyScope::kGateway;
  specs.push_back({"callers.listen", scope, AddressKind{true}, Required{},
                   "Where callers and the platform's balancer connect.",
                   InGateway([](S & s) -> auto& { return s.callers_listen; })});
  specs.push_back(
      {"readiness.listen", scope, AddressKind{true}, Required{},
       "Where the platform's balancer asks whether to send callers here.",
       InGateway([](S & s) -> auto& { return s.readiness_listen; })});
  specs.push_back({"metrics.listen", scope, AddressKind{true}, Required{},
                   "Where counters and histograms are read.",
                   InGateway([](S & s) -> auto& { return s.metrics_listen; })});
  specs.push_back({"control.seeds", scope, AddressListKind{1}, Required{},
                   "Control nodes to ask first, of which the IP number counts.",
                   InGateway([](S & s) -> auto& { return s.seeds; })});
  specs.push_back(
      {"control.peers_port", scope, IntegerKind{1, 65535}, Required{},
       "Port at which each control node serves the system's processes.",
       InGateway([](S & s) -> auto& { return s.control_peers_port; })});
  specs.push_back({"sidecars.port", scope, IntegerKind{1, 65535}, Optional{},
                   "Port of the sidecar on the VM of each target, which shows "
                   "whether a silent target's VM responds; without it nothing "
                   "is probed.",
                   InGateway([](S & s) -> auto& { return s.sidecars_port; })});
  specs.push_back(
      {"limits.max_open_connections", scope, IntegerKind{1, 1'000'000},
       Integer(3'000), "Connections of callers open at a time.",
       InGateway([](S & s) -> auto& { return s.max_open_connections; })});
  specs.push_back({"limits.memory_mb", scope, kMemoryKind, Number(112.0),
                   kMemoryMeaning,
                   InGateway([](S & s) -> auto& { return s.memory_mb; })});
  specs.push_back({"drain.grace_s", scope, NumberKind{0.0, 86400.0}, Required{},
                   "How long after the stop signal the platform ends the "
                   "process.",
                   InGateway([](S & s) -> auto& { return s.drain_grace; })});
  specs.push_back(
      {"retries.ratio", scope, NumberKind{0.0, 1.0}, Required{},
       "Sends beyond the first of each request that all gateways together may "
       "make, as a share of the requests for a service.",
       InGateway([](S & s) -> auto& { return s.retries.ratio; })});
  specs.push_back({"retries.slack", scope, NumberKind{0.0, 1e6}, Required{},
                   "Such sends allowed on top of that in each window.",
                   InGateway([](S & s) -> auto& { return s.retries.slack; })});
  specs.push_back({"retries.window_s", scope, NumberKind{0.001, 3600.0},
                   Required{}, "Length of the window that both count in.",
                   InGateway([](S & s) -> auto& { return s.retries.window; })});
  specs.push_back(
      {"cold_targets.overage", scope, NumberKind{0.0, 1000.0}, Number(1.0),
       "Part of the rate that a service declares for its cold targets that all "
       "gateways together may send to one of them.",
       InGateway([](S & s) -> auto& { return s.cold_targets.overage; })});
  specs.push_back(
      {"cold_targets.slack", scope, NumberKind{0.0, 1e6}, Number(0.0),
       "Requests per second that they may send in addition.",
       InGateway([](S & s) -> auto& { return s.cold_targets.slack; })});
}

void AddControlKeys(Specs& specs) {
  using S = ControlSettings;
  constexpr auto scope = KeyScope::kControl;
  specs.push_back(
      {"operators.listen", scope, AddressKind{true}, Required{},
       "Where operators connect and targets announce themselves.",
       InControl([](S & s) -> auto& { return s.operators_listen; })});
  specs.push_back({"peers.listen", scope, AddressKind{true}, Required{},
                   "Where the system's other processes connect.",
                   InControl([](S & s) -> auto& { return s.peers_listen; })});
  specs.push_back(
      {"peers.advertise", scope, AddressKind{}, Required{},
       "The address under which they reach peers.listen; also the name of "
       "this replica.",
       InControl([](S & s) -> auto& { return s.peers_advertise; })});
  specs.push_back({"metrics.listen", scope, AddressKind{true}, Required{},
                   "Where counters and histograms are read.",
                   InControl([](S & s) -> auto& { return s.metrics_listen; })});
  specs.push_back(
      {"control.seeds", scope, AddressListKind{}, Required{},
       "Control nodes to ask first, of which the IP number counts; at the "
       "first start they vote.",
       InControl([](S & s) -> auto& { return s.seeds; })});
  specs.push_back({"data_folder", scope, PathKind{}, Required{},
                   "Folder on a disk for the control state.",
                   InControl([](S & s) -> auto& { return s.data_folder; })});
  specs.push_back({"control.first_start", scope, FlagKind{}, Required{},
                   "True only while all disks of the deployment are empty.",
                   InControl([](S & s) -> auto& { return s.is_first_start; })});
  specs.push_back(
      {"control.tolerated_losses", scope, IntegerKind{0, 16}, Integer(1),
       "Data folders that may be lost at the same time.",
       InControl([](S & s) -> auto& { return s.tolerated_losses; })});
  specs.push_back(
      {"groups.share_loads", scope, FlagKind{}, DefaultValue{false},
       "Whether the leader sends the loads of groups to the gateways, which "
       "then "
       "choose a group by its free room and let urgent requests pass first. "
       "Costs "
       "the leader processor time for each gateway, several times a second.",
       InControl([](S & s) -> auto& { return s.shares_group_loads; })});
  specs.push_back(
      {"announcements.interval_ms", scope, IntegerKind{1, kDayMs}, Required{},
       "How often a target announces itself.",
       InControl([](S & s) -> auto& { return s.announcement_interval; })});
  specs.push_back({"limits.memory_mb", scope, kMemoryKind, Number(112.0),
                   kMemoryMeaning,
                   InControl([](S & s) -> auto& { return s.memory_mb; })});
  specs.push_back({"drain.grace_s", scope, NumberKind{0.0, 86400.0}, Required{},
                   "How long after the stop signal the platform ends the "
                   "process.",
                   InControl([](S & s) -> auto& { return s.drain_grace; })});
}

void AddSidecarKeys(Specs& specs) {
  using S = SidecarSettings;
  constexpr auto scope = KeyScope::kSidecar;
  specs.push_back({"peers.listen", scope, AddressKind{}, Required{},
                   "Where control nodes connect.",
                   InSidecar([](S & s) -> auto& { return s.peers_listen; })});
  specs.push_back({"engine.address", scope, AddressKind{}, Required{},
                   "Where the engine listens, on the same VM.",
                   InSidecar([](S & s) -> auto& { return s.engine; })});
  specs.push_back({"limits.memory_mb", scope, kMemoryKind, Number(112.0),
                   kMemoryMeaning,
                   InSidecar([](S & s) -> auto& { return s.memory_mb; })});
}

KeyScope ScopeOf(const EntrySettings&) {
  return KeyScope::kEntry;
}
KeyScope ScopeOf(const AgentSettings&) {
  return KeyScope::kAgent;
}
KeyScope ScopeOf(const GatewaySettings&) {
  return KeyScope::kGateway;
}
KeyScope ScopeOf(const ControlSettings&) {
  return KeyScope::kControl;
}
KeyScope ScopeOf(const SidecarSettings&) {
  return KeyScope::kSidecar;
}

Specs BuildTable() {
  Specs specs;
  AddCommonKeys(specs);
  AddEntryAddressKeys(specs);
  AddEntryStateKeys(specs);
  AddEntryLimitKeys(specs);
  AddAgentKeys(specs);
  AddEngineKeys(specs);
  AddGatewayKeys(specs);
  AddControlKeys(specs);
  AddSidecarKeys(specs);
  return specs;
}

}  // namespace

const std::vector<KeySpec>& KeyTable() {
  static const Specs table = BuildTable();
  return table;
}

bool AppliesTo(KeyScope scope, const Settings& settings) {
  return scope == KeyScope::kAll ||
         std::visit(
             [scope](const auto& role) { return scope == ScopeOf(role); },
             settings.role);
}

}  // namespace bilberryspool::settings
