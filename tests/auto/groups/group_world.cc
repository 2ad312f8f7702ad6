#include "auto/groups/group_world.h"

#include <algorithm>
#include <stdexcept>
#include <string_view>

#include "libs/base/check.h"
#include "libs/base/overloaded.h"

namespace bilberryspool::groups {
namespace {

constexpr double kStoreRate = 20e6;
constexpr double kStoreBurst = 3e6;
constexpr Duration kTick = Milliseconds(10);
constexpr Duration kLease = Seconds(3);

struct BrokenInvariant : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Makes a broken invariant end the test, which then prints its seed.
void ThrowBroken(std::string_view what, const char*, int) {
  throw BrokenInvariant(std::string(what));
}

ControllerOptions OptionsOf(const WorldOptions& options) {
  ControllerOptions made;
  made.group = GroupId("g");
  made.ranks = options.ranks;
  made.slots = options.slots;
  made.expert_bytes = GroupWorld::kExpertBytes;
  made.store = {kStoreRate, kStoreBurst};
  return made;
}

}  // namespace

GroupWorld::GroupWorld(WorldOptions options, std::uint64_t seed)
    : options_(options),
      random_(seed),
      now_(TimeAt(Seconds(100))),
      store_bytes_(2 * kStoreBurst),
      store_refilled_(now_) {
  SetInvariantHandler(&ThrowBroken);
  record_.version = MapVersion(1);
  record_.chosen = placement::ExpertMap::RoundRobin(
      2, options.experts, options.ranks, options.slots);
  record_.in_force = record_.chosen;
  for (std::uint32_t i = 0; i < kDomains; ++i) {
    controllers_.push_back({GroupController(OptionsOf(options)), {}});
  }
  ranks_.resize(options.ranks);
  for (std::uint32_t i = 0; i < options.ranks; ++i) {
    RestartRank(i);
  }
  At(now_, [this] { Tick(); });
}

void GroupWorld::At(TimePoint when, std::function<void()> what) {
  queue_.emplace(when, std::move(what));
}

void GroupWorld::RunFor(Duration span) {
  const TimePoint end = now_ + span;
  while (!queue_.empty() && queue_.begin()->first <= end) {
    const auto next = queue_.begin();
    now_ = std::max(now_, next->first);
    const std::function<void()> what = std::move(next->second);
    queue_.erase(next);
    what();
  }
  now_ = end;
}

bool GroupWorld::RunUntilComplete(Duration limit) {
  return RunUntilMembers(ranks_.size(), limit);
}

bool GroupWorld::RunUntilMembers(std::size_t members, Duration limit) {
  const TimePoint end = now_ + limit;
  while (now_ < end) {
    RunFor(Milliseconds(10));
    if (!holder_) {
      continue;
    }
    const GroupController& controller = controllers_[*holder_].machine;
    if (controller.state() != GroupState::kServing ||
        controller.view()->members.size() != members) {
      continue;
    }
    const std::size_t done = steps_done_;
    RunFor(Milliseconds(100));
    if (steps_done_ > done) {
      return true;
    }
  }
  return false;
}

void GroupWorld::Inject(std::uint32_t rank, const Order& order) {
  DeliverToRank(rank, OrderReceived{order});
}

void GroupWorld::Send(std::uint32_t from,
                      std::uint32_t to,
                      std::function<void()> what) {
  const bool cut = from % kDomains != to % kDomains &&
                   (cut_[from % kDomains] || cut_[to % kDomains]);
  if (cut || random_.Chance(options_.loss)) {
    return;
  }
  const int copies = random_.Chance(options_.duplicated) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    Duration delay = random_.Between(Microseconds(100), Milliseconds(2));
    if (random_.Chance(options_.long_delay)) {
      delay = random_.Between(Milliseconds(2), Seconds(5));
    }
    At(now_ + delay, what);
  }
}

void GroupWorld::Tick() {
  MaintainLease();
  for (std::uint32_t i = 0; i < ranks_.size(); ++i) {
    const std::optional<TimePoint> due = ranks_[i].machine->next_deadline();
    if (due && *due <= now_) {
      DeliverToRank(i, RankTick{});
    }
  }
  for (std::uint32_t i = 0; i < controllers_.size(); ++i) {
    const auto due = controllers_[i].machine.next_deadline();
    if (due && *due <= now_) {
      DeliverToController(i, ControllerTick{});
    }
  }
  At(now_ + kTick, [this] { Tick(); });
}

// Acts as the replicated configuration, which reaches the controllers outside
// of domains that are cut off.
void GroupWorld::MaintainLease() {
  const auto reachable = [&](std::uint32_t i) {
    return !cut_[i] && controllers_[i].frozen_until <= now_;
  };
  if (holder_ && now_ < lease_until_) {
    if (reachable(*holder_) && lease_until_ - now_ < kLease / 2) {
      lease_until_ = now_ + kLease;
      DeliverToController(*holder_,
                          LeaseGranted{token_, lease_until_, record_});
    }
    return;
  }
  holder_.reset();
  const auto candidate = static_cast<std::uint32_t>(random_.Below(kDomains));
  if (!reachable(candidate)) {
    return;
  }
  holder_ = candidate;
  token_ = token_.Next();
  lease_until_ = now_ + kLease;
  store_bytes_ += kStoreBurst;
  DeliverToController(candidate, LeaseGranted{token_, lease_until_, record_});
}

void GroupWorld::DeliverToRank(std::uint32_t rank, const RankEvent& event) {
  RankNode& node = ranks_[rank];
  if (node.frozen_until > now_) {
    const std::uint64_t incarnation = node.incarnation;
    At(node.frozen_until, [this, rank, event, incarnation] {
      if (ranks_[rank].incarnation == incarnation) {
        DeliverToRank(rank, event);
      }
    });
    return;
  }
  HandleActions(rank, node.machine->Handle(event, now_));
  if (std::holds_alternative<RankTick>(event)) {
    Expect(*node.machine->next_deadline() > now_, "a tick is not asked twice");
  }
}

void GroupWorld::DeliverToController(std::uint32_t controller,
                                     const ControllerEvent& event) {
  ControllerNode& node = controllers_[controller];
  if (node.frozen_until > now_) {
    At(node.frozen_until,
       [this, controller, event] { DeliverToController(controller, event); });
    return;
  }
  HandleActions(controller, node.machine.Handle(event, now_));
  const std::optional<TimePoint> next = node.machine.next_deadline();
  Expect(!next || *next > now_, "a tick is not asked twice");
}

void GroupWorld::HandleActions(std::uint32_t controller,
                               const std::vector<ControllerAction>& actions) {
  for (const ControllerAction& action : actions) {
    if (const auto* send = std::get_if<SendOrder>(&action)) {
      const std::uint32_t to = send->rank.value();
      Send(controller, to, [this, to, order = send->order] {
        DeliverToRank(to, OrderReceived{order});
      });
    }
    if (const auto* request = std::get_if<RecordMap>(&action)) {
      if (!cut_[controller]) {
        Record(*request);
      }
    }
  }
}

void GroupWorld::Record(const RecordMap& request) {
  const bool accepted =
      request.token == token_ && request.record.version > record_.version;
  if (accepted) {
    record_ = request.record;
  }
  const bool known = request.record.version == record_.version && holder_;
  if (known) {
    At(now_ + Milliseconds(3),
       [this, to = *holder_, version = record_.version] {
         DeliverToController(to, MapRecorded{version});
       });
  }
}

void GroupWorld::HandleActions(std::uint32_t rank,
                               const std::vector<RankAction>& actions) {
  const RankNode& node = ranks_[rank];
  const Member self{RankIndex(rank), Incarnation(node.incarnation)};
  if (node.machine->installed()) {
    const View& view = *node.machine->installed();
    views_.emplace(view.id, view);
  }
  if (node.machine->promised()) {
    promises_.emplace(self, *node.machine->promised());
  }
  for (const RankAction& action : actions) {
    Perform(rank, action);
  }
}

void GroupWorld::Perform(std::uint32_t rank, const RankAction& action) {
  RankNode& node = ranks_[rank];
  const auto later = [&](Duration delay, RankEvent event) {
    At(now_ + delay, [this, rank, incarnation = node.incarnation, event] {
      if (ranks_[rank].incarnation == incarnation) {
        DeliverToRank(rank, event);
      }
    });
  };
  std::visit(
      Overloaded{
          [&](const ResetEngine&) { later(Milliseconds(30), EngineReset{}); },
          [&](const FetchWeights& fetch) {
            ChargeStore();
            const Duration delay =
                random_.Between(Milliseconds(20), Milliseconds(80));
            if (random_.Chance(options_.fetch_failure)) {
              later(delay, FetchFailed{fetch.key});
              return;
            }
            later(delay, WeightsFetched{fetch.key});
          },
          [&](const DropWeights&) {},
          [&](const StartStep& start) { OnStart(rank, start); },
          [&](const AbortStep& abort) {
            steps_[abort.step].started.erase(RankIndex(rank));
            node.running.reset();
            if (!node.stuck) {
              later(Milliseconds(1), StepAborted{abort.step});
            }
          },
          [&](const SendStatus& send) {
            for (std::uint32_t i = 0; i < kDomains; ++i) {
              Send(rank, i, [this, i, status = send.status] {
                DeliverToController(i, StatusReceived{status});
              });
            }
          },
          [&](const SendToRank& send) {
            const std::uint32_t to = send.rank.value();
            if (cut_ranks_.contains(std::minmax(rank, to))) {
              return;
            }
            Send(rank, to, [this, to, message = send.message] {
              DeliverToRank(to, RankMessageReceived{message});
            });
          },
          [&](const RankStateChanged&) {},
      },
      action);
}

void GroupWorld::OnStart(std::uint32_t rank, const StartStep& start) {
  RankNode& node = ranks_[rank];
  const View& view = views_.at(start.step.view);
  StepRecord& step = steps_[start.step];
  const bool first = step.members == 0;
  if (first) {
    step.version = start.map_version;
    step.members = view.members.size();
  }
  Expect(step.version == start.map_version, "one map in each step");
  for (const Member& member : view.members) {
    Expect(promises_.contains({member, start.step}),
           "no step without all members");
  }
  Expect(node.last_version <= start.map_version,
         "the map version of a rank never goes back");
  node.last_version = start.map_version;
  versions_[start.step.view] = start.map_version;
  const auto place = versions_.find(start.step.view);
  Expect(place == versions_.begin() ||
             std::prev(place)->second <= start.map_version,
         "later views have no earlier map");
  newest_started_ =
      std::max(newest_started_.value_or(start.step.view), start.step.view);
  Expect(!node.running, "a rank runs one step at a time");
  node.running = start.step;
  step.started.insert(RankIndex(rank));
  if (step.started.size() == step.members) {
    OnComplete(start.step);
  }
}

// Lock-step: a step ends when all members run it.
void GroupWorld::OnComplete(const StepId& step) {
  Expect(*newest_started_ == step.view,
         "no step of an earlier view is completed after a later one began");
  ++steps_done_;
  const Duration lasts = random_.Between(Milliseconds(5), Milliseconds(20));
  for (std::uint32_t i = 0; i < ranks_.size(); ++i) {
    const bool runs = ranks_[i].running == step;
    if (!runs || ranks_[i].stuck) {
      continue;
    }
    At(now_ + lasts, [this, i, step, incarnation = ranks_[i].incarnation] {
      if (ranks_[i].incarnation == incarnation && ranks_[i].running == step) {
        ranks_[i].running.reset();
        DeliverToRank(i, StepFinished{step});
      }
    });
  }
  steps_.erase(steps_.begin(), steps_.lower_bound({step.view, 0}));
}

void GroupWorld::ChargeStore() {
  store_bytes_ += ToSeconds(now_ - store_refilled_) * kStoreRate;
  store_bytes_ = std::min(store_bytes_, 2 * kStoreBurst);
  store_refilled_ = now_;
  store_bytes_ -= kExpertBytes;
  Expect(store_bytes_ >= 0, "no fetch over the store's budget");
}

void GroupWorld::Expect(bool holds, const std::string& what) {
  if (!holds) {
    violations_.push_back(what);
  }
}

void GroupWorld::StopFaults() {
  options_.loss = 0;
  options_.duplicated = 0;
  options_.long_delay = 0;
  options_.fetch_failure = 0;
}

void GroupWorld::RestartRank(std::uint32_t rank) {
  RankNode& node = ranks_[rank];
  ++node.incarnation;
  node.running.reset();
  node.frozen_until = now_;
  RankOptions options;
  options.group = GroupId("g");
  options.rank = RankIndex(rank);
  options.incarnation = Incarnation(node.incarnation);
  node.machine.emplace(options);
  HandleActions(rank, node.machine->Start(now_));
}

void GroupWorld::FreezeRank(std::uint32_t rank, Duration span) {
  ranks_[rank].frozen_until = now_ + span;
}

void GroupWorld::SetEngineStuck(std::uint32_t rank, bool stuck) {
  ranks_[rank].stuck = stuck;
  if (!stuck) {
    RestartRank(rank);
  }
}

void GroupWorld::FreezeController(std::uint32_t controller, Duration span) {
  controllers_[controller].frozen_until = now_ + span;
}

void GroupWorld::CutDomain(std::uint32_t domain, bool cut) {
  cut_[domain] = cut;
}

void GroupWorld::CutRanks(std::uint32_t one, std::uint32_t other) {
  cut_ranks_.insert(std::minmax(one, other));
}

void GroupWorld::Choose(const placement::ExpertMap& map) {
  if (holder_) {
    DeliverToController(*holder_, MapChosen{map});
  }
}

void GroupWorld::ChooseRandomMap() {
  placement::ExpertMap map(2, options_.experts);
  std::vector<std::uint32_t> places(std::size_t{options_.ranks} *
                                    options_.slots);
  for (std::uint32_t i = 0; i < places.size(); ++i) {
    places[i] = i;
  }
  for (std::uint32_t layer = 0; layer < map.layers(); ++layer) {
    std::shuffle(places.begin(), places.end(), random_.engine());
    for (std::uint32_t i = 0; i < places.size(); ++i) {
      map.Add({placement::LayerIndex(layer), ExpertIndex(i % options_.experts)},
              RankIndex(places[i] / options_.slots));
    }
  }
  Choose(map);
}

}  // namespace bilberryspool::groups
