#include "auto/declared_limits/limit_world.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::declared_limits {

namespace {

constexpr Duration kStep = Milliseconds(10);
constexpr Duration kSettlingTime = Seconds(3);
constexpr Duration kReportDelay = Milliseconds(500);
constexpr Duration kWindow = Seconds(4);
constexpr Duration kMaxWatch = Seconds(1);
constexpr Duration kMinUpdateInterval = Milliseconds(250);
constexpr Duration kWatchPoll = Milliseconds(10);
constexpr Duration kUnlimitedTime = Seconds(3);
constexpr Duration kGrantTimeout = Milliseconds(200);
const ServiceId kService("model");

}  // namespace

LimitWorld::LimitWorld(LimitWorldOptions options, std::uint64_t seed)
    : options_(options),
      random_(seed),
      now_(TimePoint{} + Seconds(1000)),
      begin_(now_),
      end_(now_ + options.length),
      gateways_(options.gateways) {
  for (std::size_t i = 0; i < options_.controls; ++i) {
    controls_.push_back(std::make_unique<Control>());
    SetGatewayNames(i);
  }
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    gateways_[i].accounts =
        std::make_unique<LimitAccounts>(LimitAccountsOptions{});
    gateways_[i].accounts->SetGateways(gateways_.size());
    gateways_[i].planner =
        std::make_unique<GrantPlanner>(GrantPlannerOptions{});
    for (std::size_t control = 0; control < options_.controls; ++control) {
      Watch(i, control);
    }
  }
  declared_.push_back({begin_ + kUnlimitedTime, options_.limit});
}

LimitWorldResult LimitWorld::Run() {
  Traffic();
  while (!events_.empty() && events_.begin()->first < end_) {
    const auto first = events_.begin();
    now_ = first->first;
    const auto event = std::move(first->second);
    events_.erase(first);
    event();
  }
  return Judge();
}

void LimitWorld::After(Duration delay, std::function<void()> event) {
  events_.emplace(now_ + delay, std::move(event));
}

Duration LimitWorld::Delay() {
  return random_.Between(Milliseconds(1), Milliseconds(10));
}

bool LimitWorld::Occurs(double per_second) {
  return random_.Chance(per_second * ToSeconds(kStep));
}

std::string LimitWorld::NameOf(std::size_t gateway) const {
  return "gateway-" + std::to_string(gateway);
}

void LimitWorld::SetGatewayNames(std::size_t control) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < gateways_.size(); ++i) {
    if (!gateways_[i].is_disconnected) {
      names.push_back(NameOf(i));
    }
  }
  controls_[control]->registry.SetGateways(names);
}

void LimitWorld::Traffic() {
  const double expected = options_.demand * ToSeconds(kStep);
  auto count = static_cast<std::uint64_t>(expected);
  count += random_.Chance(expected - static_cast<double>(count)) ? 1 : 0;
  for (std::uint64_t i = 0; i < count; ++i) {
    const bool is_first = random_.Chance(options_.skew);
    Arrive(is_first ? 0 : random_.Below(gateways_.size()));
  }
  if (options_.changes > 1.0 && Occurs(0.15)) {
    const double factor = 1.0 + random_.Fraction() * (options_.changes - 1.0);
    const double last = declared_.back().per_second;
    declared_.push_back(
        {now_, random_.Chance(0.5) ? last * factor : last / factor});
  }
  InjectFaults();
  After(kStep, [this] { Traffic(); });
}

TargetRun LimitWorld::RunOf(std::size_t target) {
  return {TargetId("t" + std::to_string(target)), Incarnation(1)};
}

void LimitWorld::Arrive(std::size_t number) {
  Gateway& gateway = gateways_[number];
  bool is_any_limited = false;
  bool has_grant = false;
  for (std::size_t target = 0; target < options_.targets; ++target) {
    is_any_limited |= gateway.accounts->IsLimited(RunOf(target));
    has_grant |= gateway.accounts->HasGrant(RunOf(target), now_);
  }
  if (is_any_limited) {
    gateway.planner->OnRequest(kService, now_);
  }
  const auto wanted = !is_any_limited || has_grant
                          ? std::nullopt
                          : gateway.planner->GrantsToRequest(
                                kService, !options_.has_others, now_);
  if (!wanted.has_value()) {
    Choose(number);
    return;
  }
  AskForGrants(number, *wanted);
}

void LimitWorld::AskForGrants(std::size_t number, std::uint32_t wanted) {
  Gateway& gateway = gateways_[number];
  GrantRequest request;
  request.wanted = wanted;
  request.is_first_choice = !random_.Chance(options_.lost_grant_requests);
  for (std::size_t target = 0; target < options_.targets; ++target) {
    if (const auto limit = gateway.accounts->LimitOf(RunOf(target))) {
      request.targets.push_back({RunOf(target), *limit});
    }
  }
  const std::size_t control = request.is_first_choice ? 0 : 1;
  const Duration way = request.is_first_choice ? Delay() : kGrantTimeout;
  After(way, [=, this] {
    const bool is_answered = !gateways_[number].is_disconnected;
    GrantAnswer answer;
    if (is_answered) {
      Control& asked = *controls_[control];
      answer = asked.granter.Ask(request, asked.registry, now_);
    }
    After(Delay(), [=, this] {
      Gateway& requester = gateways_[number];
      if (is_answered) {
        requester.planner->OnAnswer(kService, answer.grants.empty(), now_);
        requester.accounts->OnGranted(request.targets, answer, now_);
      } else {
        requester.accounts->OnGranterUnavailable();
      }
      Choose(number);
    });
  });
}

void LimitWorld::Choose(std::size_t number) {
  std::vector<std::size_t> may_take;
  for (std::size_t target = 0; target < options_.targets; ++target) {
    if (gateways_[number].accounts->MayTake(RunOf(target), now_)) {
      may_take.push_back(target);
    }
  }
  const bool is_judged = now_ >= declared_.front().from + kSettlingTime;
  requests_ += is_judged ? 1.0 : 0.0;
  if (may_take.empty()) {
    refused_ += is_judged ? 1.0 : 0.0;
    return;
  }
  Send(number, may_take[random_.Below(may_take.size())]);
}

void LimitWorld::Send(std::size_t number, std::size_t target) {
  Gateway& gateway = gateways_[number];
  const TargetRun run = RunOf(target);
  gateway.accounts->Take(run, now_);
  const bool counts = gateway.limit_received_at.has_value() &&
                      now_ - *gateway.limit_received_at >= kReportDelay &&
                      !gateway.is_disconnected &&
                      now_ - gateway.last_fault_ended_at > kSettlingTime;
  arrivals_.push_back({now_, target, counts});
  After(Delay(), [this, number, run] {
    std::optional<double> limit;
    for (const Declared& declared : declared_) {
      limit = now_ >= declared.from ? declared.per_second : limit;
    }
    After(Delay(), [this, number, run, limit] {
      Gateway& received = gateways_[number];
      received.accounts->OnLimitReceived(run, limit, now_);
      if (limit.has_value() && !received.limit_received_at.has_value()) {
        received.limit_received_at = now_;
      }
    });
  });
}

void LimitWorld::Watch(std::size_t number, std::size_t control) {
  Gateway& gateway = gateways_[number];
  const std::string source = "control-" + std::to_string(control);
  gateway.accounts->SetReachable(source, !gateway.is_disconnected, now_);
  if (gateway.is_disconnected) {
    After(Milliseconds(150), [=, this] { Watch(number, control); });
    return;
  }
  const auto statements = gateway.accounts->Statements(now_);
  After(Delay(), [this, number, control, statements] {
    for (const LimitStatement& statement : statements) {
      controls_[control]->registry.Note(statement, now_);
    }
    Answer(number, control, now_ + kMaxWatch);
  });
}

void LimitWorld::Answer(std::size_t number,
                        std::size_t control,
                        TimePoint limit) {
  const LimitRegistry& registry = controls_[control]->registry;
  const bool has_update =
      gateways_[number].revisions[control] != registry.revision();
  // Updates are collected for a moment.
  const TimePoint until =
      has_update ? limit - kMaxWatch + kMinUpdateInterval : limit;
  if (now_ < until) {
    After(kWatchPoll, [=, this] { Answer(number, control, limit); });
    return;
  }
  const std::uint64_t revision = registry.revision();
  const auto shares = registry.SharesOf(NameOf(number));
  After(Delay(), [=, this] {
    Gateway& gateway = gateways_[number];
    if (!gateway.is_disconnected) {
      gateway.revisions[control] = revision;
      gateway.accounts->Adopt("control-" + std::to_string(control), shares,
                              now_);
    }
    Watch(number, control);
  });
}

void LimitWorld::InjectFaults() {
  if (Occurs(options_.gateway_restarts)) {
    Gateway& gateway = gateways_[random_.Below(gateways_.size())];
    gateway.accounts = std::make_unique<LimitAccounts>(LimitAccountsOptions{});
    gateway.accounts->SetGateways(gateways_.size());
    gateway.planner = std::make_unique<GrantPlanner>(GrantPlannerOptions{});
    gateway.revisions.clear();
    gateway.limit_received_at.reset();
    gateway.last_fault_ended_at = now_;
  }
  if (Occurs(options_.control_restarts)) {
    const std::size_t control = random_.Below(controls_.size());
    controls_[control] = std::make_unique<Control>();
    SetGatewayNames(control);
    for (Gateway& gateway : gateways_) {
      gateway.revisions[control] = 0;
    }
  }
  if (Occurs(options_.disconnects)) {
    const std::size_t number = random_.Below(gateways_.size());
    gateways_[number].is_disconnected = true;
    const auto name_all = [this] {
      for (std::size_t i = 0; i < controls_.size(); ++i) {
        SetGatewayNames(i);
      }
    };
    After(Seconds(5), name_all);
    After(Seconds(8), [this, number, name_all] {
      gateways_[number].is_disconnected = false;
      gateways_[number].last_fault_ended_at = now_;
      name_all();
    });
  }
}

// If the limit changes within a window, the highest limit in it counts. A
// previous limit also counts until gateways can have received the new one.
LimitWorldResult LimitWorld::Judge() const {
  LimitWorldResult result;
  const TimePoint from = declared_.front().from + kSettlingTime;
  double used = 0.0;
  for (std::size_t i = 0; i < arrivals_.size(); ++i) {
    const TimePoint start = arrivals_[i].at;
    used += start >= from ? 1.0 : 0.0;
    if (start < from || !arrivals_[i].counts) {
      continue;
    }
    double limit = 0.0;
    for (std::size_t k = 0; k < declared_.size(); ++k) {
      const TimePoint until = k + 1 < declared_.size()
                                  ? declared_[k + 1].from + kSettlingTime
                                  : end_;
      const bool is_in_window =
          declared_[k].from < start + kWindow && until > start;
      limit = std::max(limit, is_in_window ? declared_[k].per_second : 0.0);
    }
    double count = 0.0;
    for (std::size_t k = i;
         k < arrivals_.size() && arrivals_[k].at < start + kWindow; ++k) {
      const bool is_there = arrivals_[k].target == arrivals_[i].target;
      count += is_there && arrivals_[k].counts ? 1.0 : 0.0;
    }
    const double allowed = 1.5 * limit * ToSeconds(kWindow) + 5.0;
    result.max_excess = std::max(result.max_excess, count - allowed);
  }
  result.used = used / (static_cast<double>(options_.targets) * options_.limit *
                        ToSeconds(end_ - from));
  result.refused = refused_ / std::max(requests_, 1.0);
  return result;
}

}  // namespace bilberryspool::declared_limits
