#include "tools/soak/operator_work.h"

#include <variant>

#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "platform/configuration_codec.h"
#include "platform/outside_calls.h"

namespace bilberryspool::soak {

using net::SteadyNow;
using traffic::RequestKind;

namespace {

constexpr Duration kCallTimeout = Milliseconds(1000);
constexpr Duration kRetryDelay = Milliseconds(100);
constexpr double kInvalidChangeProbability = 0.2;

net::HttpClientOptions WithoutKeepAlive() {
  net::HttpClientOptions options;
  options.max_idle_per_endpoint = 0;
  return options;
}

}  // namespace

OperatorWork::OperatorWork(net::NetworkLoop& loop,
                           OperatorWorkOptions options,
                           Ledger& ledger)
    : loop_(loop),
      options_(std::move(options)),
      ledger_(ledger),
      random_(options_.seed),
      client_(loop, WithoutKeepAlive()) {}

traffic::TrafficConfiguration OperatorWork::MakeConfiguration(
    std::uint64_t version) const {
  traffic::TrafficConfiguration configuration;
  configuration.version = version;
  const auto add_route = [&](const std::string& name, RequestKind kind,
                             const std::string& service) {
    traffic::Route route;
    route.name = name;
    route.host = options_.host;
    route.path_prefix = "/" + name + "/";
    route.kind = kind;
    route.splits = {{ServiceId(service), 1}};
    route.attempts = 2;
    route.timeout = Seconds(5);
    route.objective = Milliseconds(400);
    route.may_resume = kind == RequestKind::kStream;
    configuration.routes.push_back(std::move(route));
  };
  add_route("stream", RequestKind::kStream, "engine");
  add_route("once", RequestKind::kNonIdempotent, "desk");
  add_route("any", RequestKind::kIdempotent, "desk");
  // A route that only this version has.
  add_route("v" + std::to_string(version), RequestKind::kIdempotent, "desk");
  for (const char* service : {"engine", "desk"}) {
    configuration.services[ServiceId(service)].id = ServiceId(service);
  }
  configuration.has_workspaces = true;
  configuration.keys[options_.key].workspace = Workspace(options_.workspace);
  return configuration;
}

bool OperatorWork::Change(Duration timeout) {
  constexpr std::uint64_t kMaxSkippedVersions = 3;
  version_ += 1 + random_.Below(kMaxSkippedVersions);
  const std::uint64_t version = version_;
  const net::HttpRequest call =
      platform::PutConfigurationCall(MakeConfiguration(version));
  const TimePoint limit = SteadyNow() + timeout;
  while (SteadyNow() < limit) {
    const std::size_t node = random_.Below(options_.control.size());
    const auto result =
        client_.Send(options_.control[node], call, kCallTimeout);
    const auto* response = std::get_if<net::HttpResponse>(&result);
    if (response != nullptr && net::status::IsSuccess(response->head.status)) {
      ledger_.OnConfirmed(version, SteadyNow());
      return true;
    }
    if (response != nullptr &&
        response->head.status < net::status::kServerError) {
      ledger_.OnConfigurationViolation("version " + std::to_string(version) +
                                       " was refused with " +
                                       std::to_string(response->head.status));
      return false;
    }
    loop_.SleepFor(kRetryDelay);
  }
  return false;
}

void OperatorWork::TryInvalid() {
  traffic::TrafficConfiguration wrong = MakeConfiguration(version_ + 1000);
  wrong.routes.back().splits = {{ServiceId("nowhere"), 1}};
  const std::size_t node = random_.Below(options_.control.size());
  const auto result =
      client_.Send(options_.control[node],
                   platform::PutConfigurationCall(wrong), kCallTimeout);
  const auto* response = std::get_if<net::HttpResponse>(&result);
  if (response != nullptr && net::status::IsSuccess(response->head.status)) {
    ledger_.OnConfigurationViolation(
        "a route to an unknown service was accepted");
  }
}

void OperatorWork::KeepChanging() {
  constexpr Duration kChangeTimeout = Seconds(20);
  while (!is_stopping_) {
    loop_.SleepFor(random_.Between(Duration::zero(), options_.max_pause));
    if (random_.Chance(kInvalidChangeProbability)) {
      TryInvalid();
    }
    if (!Change(kChangeTimeout)) {
      ledger_.OnConfigurationViolation("version " + std::to_string(version_) +
                                       " was not confirmed in 20 s");
    }
  }
}

bool OperatorWork::ReadAt(const net::Endpoint& node) {
  const TimePoint asked_at = SteadyNow();
  const auto result =
      client_.Send(node, platform::GetConfigurationCall(), kCallTimeout);
  const auto* response = std::get_if<net::HttpResponse>(&result);
  if (response == nullptr || !net::status::IsSuccess(response->head.status)) {
    return false;
  }
  const auto read = platform::ReadConfiguration(response->body);
  const auto* configuration = std::get_if<traffic::TrafficConfiguration>(&read);
  if (configuration == nullptr) {
    ledger_.OnConfigurationViolation("what was read back is no configuration");
    return false;
  }
  ledger_.OnRead({configuration->version, asked_at});
  return true;
}

void OperatorWork::KeepReading() {
  std::size_t at = 0;
  while (!is_stopping_) {
    ReadAt(options_.control[at++ % options_.control.size()]);
    loop_.SleepFor(kRetryDelay);
  }
}

bool OperatorWork::ReadAll(Duration timeout) {
  const TimePoint limit = SteadyNow() + timeout;
  for (const net::Endpoint& node : options_.control) {
    while (!ReadAt(node)) {
      if (SteadyNow() > limit) {
        return false;
      }
      loop_.SleepFor(kRetryDelay);
    }
  }
  return true;
}

void OperatorWork::Start() {
  running_ = 2;
  loop_.Spawn([this] {
    KeepChanging();
    --running_;
  });
  loop_.Spawn([this] {
    KeepReading();
    --running_;
  });
}

}  // namespace bilberryspool::soak
