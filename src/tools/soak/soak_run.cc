#include "tools/soak/soak_run.h"

#include <signal.h>

#include <algorithm>

#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "platform/wire_names.h"

namespace bilberryspool::soak {

using blackhole::NewConnections;
using net::SteadyNow;

namespace {

constexpr char kHost[] = "h.example";
constexpr char kKey[] = "k1";
constexpr char kWorkspace[] = "w1";
// Targets listen on one address, their relays on another. The port is an offset
// from the first port of the deployment.
constexpr char kTargetHost[] = "127.0.0.9";
constexpr char kTargetRelayHost[] = "127.0.0.19";
constexpr std::uint16_t kTargetPort = 70;

constexpr Duration kStartTimeout = Seconds(30);
// Time from the last fault until everything must work again.
constexpr Duration kRecoveryDuration = Seconds(8);
constexpr Duration kObservationDuration = Seconds(3);
constexpr Duration kPollInterval = Milliseconds(50);
constexpr Duration kRelayDelay = Milliseconds(900);

}  // namespace

SoakRun::SoakRun(net::NetworkLoop& loop, SoakOptions options)
    : loop_(loop),
      options_(std::move(options)),
      dialect_(platform::PlatformHeaderNames()),
      plan_(MakePlan(options_.plan)),
      ledger_(LedgerOptions{}),
      deployment_(loop, options_.deployment),
      client_(loop, {}) {}

std::string SoakRun::StartTargets() {
  for (std::uint32_t i = 0; i < options_.plan.targets; ++i) {
    SoakTargetOptions options;
    options.number = i;
    options.is_engine = i % 2 == 0;
    options.service = ServiceId(options.is_engine ? "engine" : "desk");
    const auto port = static_cast<std::uint16_t>(
        options_.deployment.first_port + kTargetPort + i);
    options.listen = {kTargetHost, port};
    options.advertise = {kTargetRelayHost, port};
    for (std::uint32_t c = 0; c < options_.plan.controls; ++c) {
      options.control.push_back(deployment_.operators(c));
    }
    targets_.push_back(std::make_unique<SoakTarget>(loop_, std::move(options),
                                                    dialect_, ledger_));
    std::string error = targets_.back()->Start();
    if (!error.empty()) {
      return error;
    }
  }
  return "";
}

std::string SoakRun::StartAll() {
  std::string error = deployment_.Start();
  if (error.empty()) {
    error = StartTargets();
  }
  if (!error.empty()) {
    return error;
  }
  OperatorWorkOptions operators;
  operators.seed = options_.plan.seed;
  operators.host = kHost;
  operators.key = kKey;
  operators.workspace = kWorkspace;
  for (std::uint32_t i = 0; i < options_.plan.controls; ++i) {
    operators.control.push_back(deployment_.operators(i));
  }
  operators_ = std::make_unique<OperatorWork>(loop_, operators, ledger_);
  SoakCallersOptions callers;
  callers.seed = options_.plan.seed;
  callers.callers = options_.callers;
  callers.host = kHost;
  callers.key = kKey;
  callers.workspace = kWorkspace;
  for (std::uint32_t i = 0; i < options_.plan.gateways; ++i) {
    callers.gateways.push_back(deployment_.callers(i));
  }
  callers_ = std::make_unique<SoakCallers>(loop_, callers, dialect_, ledger_);
  if (!operators_->Change(kStartTimeout)) {
    return "no configuration was accepted";
  }
  return WaitUntilServing(kStartTimeout) ? "" : "a gateway does not serve";
}

// Waits until all gateways report readiness, and gives them time to learn of
// all targets.
bool SoakRun::WaitUntilServing(Duration timeout) {
  const TimePoint limit = SteadyNow() + timeout;
  net::HttpRequest request;
  request.target = "/ready";
  for (std::uint32_t i = 0; i < options_.plan.gateways; ++i) {
    while (true) {
      const auto result =
          client_.Send(deployment_.readiness(i), request, Seconds(1));
      const auto* response = std::get_if<net::HttpResponse>(&result);
      if (response != nullptr &&
          net::status::IsSuccess(response->head.status)) {
        break;
      }
      if (SteadyNow() > limit) {
        return false;
      }
      loop_.SleepFor(kPollInterval);
    }
  }
  constexpr Duration kAnnouncementPropagation = Seconds(1);
  loop_.SleepFor(kAnnouncementPropagation);
  return true;
}

std::string SoakRun::Execute() {
  std::string error = StartAll();
  if (!error.empty()) {
    return error;
  }
  loop_.Spawn([this] { WatchProcesses(); });
  callers_->Start();
  operators_->Start();
  active_faults_ = static_cast<std::uint32_t>(plan_.size());
  const TimePoint start = SteadyNow();
  for (const FaultEvent& fault_event : plan_) {
    loop_.Spawn([this, fault_event, start] {
      loop_.SleepFor(start + fault_event.at - SteadyNow());
      Execute(fault_event);
      --active_faults_;
    });
  }
  loop_.SleepFor(options_.plan.length);
  while (active_faults_ > 0) {
    loop_.SleepFor(kPollInterval);
  }
  loop_.SleepFor(kRecoveryDuration);
  ledger_.OnRecovered(SteadyNow());
  loop_.SleepFor(kObservationDuration);
  callers_->Stop();
  operators_->Stop();
  while (!callers_->has_ended() || !operators_->has_ended()) {
    loop_.SleepFor(kPollInterval);
  }
  constexpr Duration kReadTimeout = Seconds(10);
  if (!operators_->ReadAll(kReadTimeout)) {
    ledger_.OnConfigurationViolation(
        "a control node does not answer reads at the end");
  }
  is_over_ = true;
  loop_.SleepFor(2 * kPollInterval);
  for (std::uint32_t i = 0; i < options_.plan.controls; ++i) {
    RecordPeakMemory(Deployment::ControlName(i));
  }
  for (std::uint32_t i = 0; i < options_.plan.gateways; ++i) {
    RecordPeakMemory(Deployment::GatewayName(i));
  }
  return "";
}

// Injects a fault and undoes it after its duration, or later if injecting it
// took longer.
void SoakRun::Execute(const FaultEvent& fault_event) {
  if (fault_event.kind == FaultKind::kKillAllControl) {
    // What was acknowledged just before must survive, although nobody else was
    // told.
    targets_[fault_event.at / Milliseconds(1) % targets_.size()]
        ->WithdrawFirst();
  }
  const TimePoint begun = SteadyNow();
  Begin(fault_event);
  const Duration left = begun + fault_event.length - SteadyNow();
  if (left > Duration::zero()) {
    loop_.SleepFor(left);
  }
  Undo(fault_event);
  ledger_.OnFault(fault_event, begun, SteadyNow());
}

void SoakRun::Begin(const FaultEvent& fault_event) {
  switch (ClassOf(fault_event.kind)) {
    case VictimClass::kControl:
      BeginAtControl(fault_event);
      return;
    case VictimClass::kGateway:
      BeginAtGateway(fault_event);
      return;
    case VictimClass::kTarget:
      BeginAtTarget(fault_event);
      return;
  }
}

void SoakRun::Undo(const FaultEvent& fault_event) {
  switch (ClassOf(fault_event.kind)) {
    case VictimClass::kControl:
      UndoAtControl(fault_event);
      return;
    case VictimClass::kGateway:
      UndoAtGateway(fault_event);
      return;
    case VictimClass::kTarget:
      UndoAtTarget(fault_event);
      return;
  }
}

void SoakRun::BeginAtControl(const FaultEvent& fault_event) {
  ProcessTable& processes = deployment_.processes();
  const std::string name = Deployment::ControlName(fault_event.victim);
  blackhole::Relay& relay = deployment_.relay(fault_event.victim);
  switch (fault_event.kind) {
    case FaultKind::kKillControl:
    case FaultKind::kWipeControl:
      expected_down_.insert(name);
      RecordPeakMemory(name);
      processes.Kill(name);
      break;
    case FaultKind::kKillAllControl:
      // Before any of them is waited for, so that none tells the others.
      for (std::uint32_t i = 0; i < options_.plan.controls; ++i) {
        processes.Signal(Deployment::ControlName(i), SIGKILL);
      }
      for (std::uint32_t i = 0; i < options_.plan.controls; ++i) {
        expected_down_.insert(Deployment::ControlName(i));
        processes.Kill(Deployment::ControlName(i));
      }
      break;
    case FaultKind::kFreezeControl:
      processes.Signal(name, SIGSTOP);
      break;
    case FaultKind::kStopControl:
      expected_down_.insert(name);
      processes.Signal(name, SIGTERM);
      break;
    case FaultKind::kCutControl:
      relay.set_new_connections(NewConnections::kSilent);
      relay.SilenceOpenConnections();
      break;
    case FaultKind::kSilenceControl:
      relay.SilenceOpenConnections();
      break;
    default:
      relay.set_delay(kRelayDelay);
      break;
  }
}

void SoakRun::UndoAtControl(const FaultEvent& fault_event) {
  const std::string name = Deployment::ControlName(fault_event.victim);
  blackhole::Relay& relay = deployment_.relay(fault_event.victim);
  switch (fault_event.kind) {
    case FaultKind::kWipeControl:
      deployment_.WipeControl(fault_event.victim);
      Restart(name);
      break;
    case FaultKind::kKillControl:
    case FaultKind::kStopControl:
      // Kill a process that did not stop by itself, as the platform does.
      deployment_.processes().Kill(name);
      Restart(name);
      break;
    case FaultKind::kKillAllControl:
      for (std::uint32_t i = 0; i < options_.plan.controls; ++i) {
        Restart(Deployment::ControlName(i));
      }
      break;
    case FaultKind::kFreezeControl:
      deployment_.processes().Signal(name, SIGCONT);
      break;
    case FaultKind::kCutControl:
      // Silenced connections stay silent; only new ones work again.
      relay.set_new_connections(NewConnections::kRelayed);
      break;
    default:
      relay.set_delay(Duration::zero());
      break;
  }
}

void SoakRun::BeginAtGateway(const FaultEvent& fault_event) {
  ProcessTable& processes = deployment_.processes();
  const std::string name = Deployment::GatewayName(fault_event.victim);
  switch (fault_event.kind) {
    case FaultKind::kKillGateway:
      expected_down_.insert(name);
      RecordPeakMemory(name);
      processes.Kill(name);
      break;
    case FaultKind::kFreezeGateway:
      processes.Signal(name, SIGSTOP);
      break;
    case FaultKind::kStopGateway:
      expected_down_.insert(name);
      RecordPeakMemory(name);
      processes.Signal(name, SIGTERM);
      break;
    default:
      processes.Signal(name, SIGHUP);
      break;
  }
}

void SoakRun::UndoAtGateway(const FaultEvent& fault_event) {
  const std::string name = Deployment::GatewayName(fault_event.victim);
  switch (fault_event.kind) {
    case FaultKind::kFreezeGateway:
      deployment_.processes().Signal(name, SIGCONT);
      break;
    case FaultKind::kKillGateway:
      Restart(name);
      break;
    case FaultKind::kStopGateway:
      while (deployment_.processes().IsRunning(name)) {
        loop_.SleepFor(kPollInterval);
      }
      Restart(name);
      break;
    default:
      break;
  }
}

void SoakRun::BeginAtTarget(const FaultEvent& fault_event) {
  SoakTarget& target = *targets_[fault_event.victim];
  switch (fault_event.kind) {
    case FaultKind::kCrashTarget:
      target.Crash();
      break;
    case FaultKind::kCutTarget:
      target.relay().set_new_connections(NewConnections::kSilent);
      target.relay().SilenceOpenConnections();
      break;
    case FaultKind::kSilenceTarget:
      target.relay().SilenceOpenConnections();
      break;
    case FaultKind::kResetTarget:
      ResetRepeatedly(target, fault_event.length);
      break;
    case FaultKind::kDelayTarget:
      target.relay().set_delay(kRelayDelay);
      break;
    case FaultKind::kOneWayTarget:
      target.relay().set_new_connections(NewConnections::kUnanswered);
      target.relay().SilenceOpenConnections();
      break;
    default:
      target.Drain();
      break;
  }
}

void SoakRun::ResetRepeatedly(SoakTarget& target, Duration length) {
  constexpr Duration kBetween = Milliseconds(170);
  const TimePoint end = SteadyNow() + length;
  while (SteadyNow() < end) {
    target.relay().CloseOpenConnections();
    loop_.SleepFor(kBetween);
  }
}

void SoakRun::UndoAtTarget(const FaultEvent& fault_event) {
  SoakTarget& target = *targets_[fault_event.victim];
  switch (fault_event.kind) {
    case FaultKind::kCrashTarget:
    case FaultKind::kDrainTarget:
      target.Restart();
      break;
    case FaultKind::kDelayTarget:
      target.relay().set_delay(Duration::zero());
      break;
    default:
      target.relay().set_new_connections(NewConnections::kRelayed);
      break;
  }
}

void SoakRun::Restart(const std::string& name) {
  const bool is_control = name.starts_with("control");
  const auto number =
      static_cast<std::uint32_t>(std::stoul(name.substr(name.find('-') + 1)));
  const std::string error = is_control ? deployment_.StartControl(number)
                                       : deployment_.StartGateway(number);
  if (!error.empty()) {
    ledger_.OnUnexpectedExit(name + " can't be started: " + error);
  }
  expected_down_.erase(name);
}

// Reports and restarts processes that exited without a fault.
void SoakRun::WatchProcesses() {
  std::vector<std::string> names;
  for (std::uint32_t i = 0; i < options_.plan.controls; ++i) {
    names.push_back(Deployment::ControlName(i));
  }
  for (std::uint32_t i = 0; i < options_.plan.gateways; ++i) {
    names.push_back(Deployment::GatewayName(i));
  }
  while (!is_over_) {
    for (const std::string& name : names) {
      if (expected_down_.count(name) == 0 &&
          !deployment_.processes().IsRunning(name)) {
        ledger_.OnUnexpectedExit(name);
        expected_down_.insert(name);
        Restart(name);
      }
    }
    loop_.SleepFor(kPollInterval);
  }
}

void SoakRun::RecordPeakMemory(const std::string& name) {
  std::uint64_t& peak = peak_memory_kib_[name];
  peak = std::max(peak, deployment_.processes().PeakKib(name));
}

void SoakRun::PrintPeakMemory(std::ostream& out) const {
  for (const auto& [name, kib] : peak_memory_kib_) {
    out << "peak " << name << " " << kib << " KiB\n";
  }
}

}  // namespace bilberryspool::soak
