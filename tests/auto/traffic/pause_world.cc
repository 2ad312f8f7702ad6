#include "auto/traffic/pause_world.h"

#include <algorithm>
#include <string>

namespace bilberryspool::traffic {

namespace {

const ServiceId kService("model");
const FailureDomain kDomain("z1");
constexpr TimePoint kStart = TimeAt(Seconds(100));
constexpr std::uint32_t kAttempts = 2;

TargetRecord RecordOf(const TargetId& id, std::uint32_t slots) {
  TargetRecord record;
  record.announcement.target = id;
  record.announcement.service = kService;
  record.announcement.address = id.value() + ":80";
  record.announcement.domain = kDomain;
  record.announcement.slots = slots;
  record.announcement.sequence = 1;
  return record;
}

}  // namespace

PauseWorld::PauseWorld(PauseWorldOptions options, std::uint64_t seed)
    : options_(options), random_(seed), now_(kStart) {
  std::vector<TargetRecord> records;
  for (std::size_t i = 0; i < options_.targets; ++i) {
    Target target;
    target.id = TargetId("t" + std::to_string(i));
    records.push_back(RecordOf(target.id, options_.slots));
    targets_.push_back(std::move(target));
  }
  for (std::size_t i = 0; i < options_.gateways; ++i) {
    TargetPoolOptions pool;
    pool.domain = kDomain;
    gateways_.push_back({TargetPool(pool, seed + i), {}, {}});
    gateways_.back().pool.Update("c1", true, records, now_);
  }
}

void PauseWorld::At(TimePoint when, std::function<void()> event) {
  events_.emplace(when, std::move(event));
}

PauseWorldResult PauseWorld::Run() {
  At(now_, [this] { Arrive(); });
  while (!events_.empty()) {
    auto node = events_.extract(events_.begin());
    now_ = node.key();
    node.mapped()();
  }
  return result_;
}

bool PauseWorld::IsRefusing(std::size_t target) const {
  const Duration since = now_ - kStart - options_.refusing_from;
  return target < options_.refusing && since >= Duration::zero() &&
         since < options_.refusing_for;
}

void PauseWorld::Arrive() {
  if (now_ - kStart > options_.length) {
    return;
  }
  Request request;
  request.gateway = random_.Below(gateways_.size());
  ++result_.requests;
  Send(request);
  const double gap_s = 2.0 * random_.Fraction() / options_.requests_per_s;
  At(now_ + Microseconds(static_cast<std::int64_t>(gap_s * 1e6)),
     [this] { Arrive(); });
}

void PauseWorld::Send(Request request) {
  Gateway& gateway = gateways_[request.gateway];
  const auto outcome = gateway.pool.Choose(kService, request.tried, now_);
  const auto* choice = std::get_if<Choice>(&outcome);
  if (choice == nullptr) {
    End(request);
    return;
  }
  request.tried.insert(choice->target);
  ++request.sends;
  const std::size_t target = std::stoul(choice->target.value().substr(1));
  At(now_ + Transit(),
     [this, request, sent = *choice, target] { Reach(request, sent, target); });
}

void PauseWorld::Reach(const Request& request,
                       const Choice& choice,
                       std::size_t number) {
  Target& target = targets_[number];
  const auto asked = target.asked.find(request.gateway);
  if (asked != target.asked.end() &&
      now_ > asked->second.first + Milliseconds(500) &&
      now_ < asked->second.second) {
    ++result_.arrivals_in_pause;
  }
  target.arrivals.push_back(now_);
  while (now_ - target.arrivals.front() > Milliseconds(200)) {
    target.arrivals.pop_front();
  }
  result_.most_in_200_ms =
      std::max<std::uint64_t>(result_.most_in_200_ms, target.arrivals.size());
  const bool is_full = 4 * target.running >= 5 * options_.slots;
  if (is_full || IsRefusing(number)) {
    Refuse(request, choice, target);
    return;
  }
  ++target.running;
  const Duration run =
      random_.Between(options_.run_time / 2, options_.run_time * 3 / 2);
  At(now_ + run, [this, request, choice, number] {
    Target& ended = targets_[number];
    --ended.running;
    At(now_ + Transit(), [this, request, choice, load = ended.running] {
      TargetPool& pool = gateways_[request.gateway].pool;
      pool.OnLoad(choice.target, load, 0, now_);
      pool.OnEnded(choice.target, TargetOutcome::kGood, now_);
      ++result_.served;
    });
  });
}

void PauseWorld::Refuse(const Request& request,
                        const Choice& choice,
                        Target& target) {
  const Duration pause =
      random_.Between(options_.min_pause, options_.max_pause);
  auto& asked = target.asked[request.gateway];
  asked = {now_, std::max(asked.second, now_ + pause)};
  At(now_ + Transit(), [this, request, choice, pause, load = target.running] {
    Gateway& gateway = gateways_[request.gateway];
    gateway.pool.OnLoad(choice.target, load, 0, now_);
    gateway.pool.OnPauseRequested({choice.target, choice.incarnation}, pause,
                                  now_);
    gateway.pool.OnEnded(choice.target, TargetOutcome::kFull, now_);
    TimePoint& told_until = gateway.told_until[choice.target];
    told_until = std::max(told_until, now_ + pause);
    gateway.refused_at[choice.target] = now_;
    if (request.sends < kAttempts) {
      Send(request);
    } else {
      End(request);
    }
  });
}

void PauseWorld::End(const Request& request) {
  result_.refused_while_free += IsAnyFree(request) ? 1 : 0;
  if (request.has_returned) {
    ++result_.refused;
    return;
  }
  Request again;
  again.gateway = random_.Below(gateways_.size());
  again.has_returned = true;
  const auto paused =
      gateways_[request.gateway].pool.PausedTargetsOf(kService, now_);
  const Duration retry_after =
      paused.are_all && paused.count > 0
          ? RetryAfterPause(paused.first_end_after, random_,
                            options_.return_spread)
          : random_.Between(Milliseconds(2400), Milliseconds(2640));
  At(now_ + retry_after, [this, again] { Send(again); });
}

// Whether a target that the request has not tried, and that has not told its
// gateway otherwise, has a free slot.
bool PauseWorld::IsAnyFree(const Request& request) const {
  const Gateway& gateway = gateways_[request.gateway];
  return std::any_of(targets_.begin(), targets_.end(), [&](const Target& one) {
    const auto told = gateway.told_until.find(one.id);
    const bool is_paused =
        told != gateway.told_until.end() && now_ < told->second;
    return request.sends < kAttempts && !is_paused &&
           !request.tried.contains(one.id) && one.running < options_.slots;
  });
}

}  // namespace bilberryspool::traffic
