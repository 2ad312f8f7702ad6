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
// Targets listen on one address, their relays on another.
constexpr char kTargetHost[] = "127.0.0.9";
constexpr char kTargetRelayHost[] = "127.0.0.19";
constexpr std::uint16_t kTargetPort = 70;

constexpr Duration kStartPatience = Seconds(30);
// From the last fault until all has to work again.
constexpr Duration kRecovery = Seconds(8);
constexpr Duration kAfterRecovery = Seconds(3);
constexpr Duration kPoll = Milliseconds(50);
constexpr Duration kLateness = Milliseconds(900);

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
  if (!operators_->Change(kStartPatience)) {
    return "no configuration was accepted";
  }
  return WaitUntilServing(kStartPatience) ? "" : "a gateway does not serve";
}

// All gateways say that they are ready, and have had time to hear of all
// targets.
bool SoakRun::WaitUntilServing(Duration patience) {
  const TimePoint limit = SteadyNow() + patience;
  net::HttpRequest question;
  question.target = "/ready";
  for (std::uint32_t i = 0; i < options_.plan.gateways; ++i) {
    while (true) {
      const auto result =
          client_.Send(deployment_.readiness(i), question, Seconds(1));
      const auto* response = std::get_if<net::HttpResponse>(&result);
      if (response != nullptr &&
          net::status::IsSuccess(response->head.status)) {
        break;
      }
      if (SteadyNow() > limit) {
        return false;
      }
      loop_.SleepFor(kPoll);
    }
  }
  constexpr Duration kAnnounced = Seconds(1);
  loop_.SleepFor(kAnnounced);
  return true;
}

std::string SoakRun::Play() {
  std::string error = StartAll();
  if (!error.empty()) {
    return error;
  }
  loop_.Spawn([this] { WatchProcesses(); });
  callers_->Start();
  operators_->Start();
  striking_ = static_cast<std::uint32_t>(plan_.size());
  const TimePoint start = SteadyNow();
  for (const Strike& strike : plan_) {
    loop_.Spawn([this, strike, start] {
      loop_.SleepFor(start + strike.at - SteadyNow());
      Play(strike);
      --striking_;
    });
  }
  loop_.SleepFor(options_.plan.length);
  while (striking_ > 0) {
    loop_.SleepFor(kPoll);
  }
  loop_.SleepFor(kRecovery);
  ledger_.OnRecovered(SteadyNow());
  loop_.SleepFor(kAfterRecovery);
  callers_->Stop();
  operators_->Stop();
  while (!callers_->has_ended() || !operators_->has_ended()) {
    loop_.SleepFor(kPoll);
  }
  constexpr Duration kReadPatience = Seconds(10);
  if (!operators_->ReadAll(kReadPatience)) {
    ledger_.OnWrongVerdict("a control node does not answer reads at the end");
  }
  is_over_ = true;
  loop_.SleepFor(2 * kPoll);
  for (std::uint32_t i = 0; i < options_.plan.controls; ++i) {
    NotePeak(Deployment::ControlName(i));
  }
  for (std::uint32_t i = 0; i < options_.plan.gateways; ++i) {
    NotePeak(Deployment::GatewayName(i));
  }
  return "";
}

// Faults are never undone later than their time; planned work may end before.
void SoakRun::Play(const Strike& strike) {
  const TimePoint begun = SteadyNow();
  Begin(strike);
  const Duration left = begun + strike.length - SteadyNow();
  if (left > Duration::zero()) {
    loop_.SleepFor(left);
  }
  Undo(strike);
  ledger_.OnFault(strike, begun, SteadyNow());
}

void SoakRun::Begin(const Strike& strike) {
  switch (ClassOf(strike.kind)) {
    case VictimClass::kControl:
      BeginAtControl(strike);
      return;
    case VictimClass::kGateway:
      BeginAtGateway(strike);
      return;
    case VictimClass::kTarget:
      BeginAtTarget(strike);
      return;
  }
}

void SoakRun::Undo(const Strike& strike) {
  switch (ClassOf(strike.kind)) {
    case VictimClass::kControl:
      UndoAtControl(strike);
      return;
    case VictimClass::kGateway:
      UndoAtGateway(strike);
      return;
    case VictimClass::kTarget:
      UndoAtTarget(strike);
      return;
  }
}

void SoakRun::BeginAtControl(const Strike& strike) {
  ProcessTable& processes = deployment_.processes();
  const std::string name = Deployment::ControlName(strike.victim);
  blackhole::Relay& relay = deployment_.relay(strike.victim);
  switch (strike.kind) {
    case FaultKind::kKillControl:
    case FaultKind::kWipeControl:
      down_.insert(name);
      NotePeak(name);
      processes.Kill(name);
      break;
    case FaultKind::kKillAllControl:
      for (std::uint32_t i = 0; i < options_.plan.controls; ++i) {
        down_.insert(Deployment::ControlName(i));
        processes.Kill(Deployment::ControlName(i));
      }
      break;
    case FaultKind::kFreezeControl:
      processes.Signal(name, SIGSTOP);
      break;
    case FaultKind::kStopControl:
      down_.insert(name);
      processes.Signal(name, SIGTERM);
      break;
    case FaultKind::kCutControl:
      relay.set_new_connections(NewConnections::kSilent);
      relay.SilencePresent();
      break;
    case FaultKind::kSilenceControl:
      relay.SilencePresent();
      break;
    default:
      relay.set_delay(kLateness);
      break;
  }
}

void SoakRun::UndoAtControl(const Strike& strike) {
  const std::string name = Deployment::ControlName(strike.victim);
  blackhole::Relay& relay = deployment_.relay(strike.victim);
  switch (strike.kind) {
    case FaultKind::kWipeControl:
      deployment_.WipeControl(strike.victim);
      Restart(name);
      break;
    case FaultKind::kKillControl:
    case FaultKind::kStopControl:
      // One that does not stop by itself is ended, as the platform does.
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
      // What was silent stays silent: only new connections work.
      relay.set_new_connections(NewConnections::kRelayed);
      break;
    default:
      relay.set_delay(Duration::zero());
      break;
  }
}

void SoakRun::BeginAtGateway(const Strike& strike) {
  ProcessTable& processes = deployment_.processes();
  const std::string name = Deployment::GatewayName(strike.victim);
  switch (strike.kind) {
    case FaultKind::kKillGateway:
      down_.insert(name);
      NotePeak(name);
      processes.Kill(name);
      break;
    case FaultKind::kFreezeGateway:
      processes.Signal(name, SIGSTOP);
      break;
    case FaultKind::kStopGateway:
      down_.insert(name);
      NotePeak(name);
      processes.Signal(name, SIGTERM);
      break;
    default:
      processes.Signal(name, SIGHUP);
      break;
  }
}

void SoakRun::UndoAtGateway(const Strike& strike) {
  const std::string name = Deployment::GatewayName(strike.victim);
  switch (strike.kind) {
    case FaultKind::kFreezeGateway:
      deployment_.processes().Signal(name, SIGCONT);
      break;
    case FaultKind::kKillGateway:
      Restart(name);
      break;
    case FaultKind::kStopGateway:
      while (deployment_.processes().IsRunning(name)) {
        loop_.SleepFor(kPoll);
      }
      Restart(name);
      break;
    default:
      break;
  }
}

void SoakRun::BeginAtTarget(const Strike& strike) {
  SoakTarget& target = *targets_[strike.victim];
  switch (strike.kind) {
    case FaultKind::kCrashTarget:
      target.Crash();
      break;
    case FaultKind::kCutTarget:
      target.relay().set_new_connections(NewConnections::kSilent);
      target.relay().SilencePresent();
      break;
    case FaultKind::kSilenceTarget:
      target.relay().SilencePresent();
      break;
    case FaultKind::kResetTarget:
      ResetAgainAndAgain(target, strike.length);
      break;
    case FaultKind::kDelayTarget:
      target.relay().set_delay(kLateness);
      break;
    case FaultKind::kOneWayTarget:
      target.relay().set_new_connections(NewConnections::kUnanswered);
      target.relay().SilencePresent();
      break;
    default:
      target.Drain();
      break;
  }
}

void SoakRun::ResetAgainAndAgain(SoakTarget& target, Duration length) {
  constexpr Duration kBetween = Milliseconds(170);
  const TimePoint end = SteadyNow() + length;
  while (SteadyNow() < end) {
    target.relay().CutPresent();
    loop_.SleepFor(kBetween);
  }
}

void SoakRun::UndoAtTarget(const Strike& strike) {
  SoakTarget& target = *targets_[strike.victim];
  switch (strike.kind) {
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
    ledger_.OnOwnEnd(name + " can't be started: " + error);
  }
  down_.erase(name);
}

// A process that is down without a fault has ended by itself.
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
      if (down_.count(name) == 0 && !deployment_.processes().IsRunning(name)) {
        ledger_.OnOwnEnd(name);
        down_.insert(name);
        Restart(name);
      }
    }
    loop_.SleepFor(kPoll);
  }
}

void SoakRun::NotePeak(const std::string& name) {
  std::uint64_t& peak = peaks_[name];
  peak = std::max(peak, deployment_.processes().PeakKib(name));
}

void SoakRun::PrintPeaks(std::ostream& out) const {
  for (const auto& [name, kib] : peaks_) {
    out << "peak " << name << " " << kib << " KiB\n";
  }
}

}  // namespace bilberryspool::soak
