// Tests the step switch of a self-stepping group with engines that lose answers
// and carry out orders late, and with owners that replace each other.

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

#include "auto/groups/fake_group.h"
#include "libs/base/overloaded.h"
#include "libs/base/random.h"
#include "libs/groups/step_switch.h"

namespace bilberryspool::groups {
namespace {

constexpr std::uint32_t kRanks = 4;

std::shared_ptr<const placement::ExpertMap> MapOf(std::uint32_t first) {
  auto map = std::make_shared<placement::ExpertMap>(1, kRanks);
  for (std::uint32_t e = 0; e < kRanks; ++e) {
    map->Add({placement::LayerIndex(0), ExpertIndex(e)},
             RankIndex((e + first) % kRanks));
  }
  return map;
}

struct FaultChances {
  const char* name;
  double lost = 0.0;      // carried out immediately, not answered
  double late = 0.0;      // not answered, carried out 2 to 12 s later
  double takeover = 0.0;  // of another owner, in each iteration
  double reform = 0.0;
  // For each rank in each iteration: its VM freezes for up to 4 s. It reports
  // nothing, and orders to it are carried out when it wakes.
  double freeze = 0.0;
  // That a rank on a frozen VM is found silent and is not sent an order to arm.
  double not_sent = 0.0;
  // That a copy of an answered order to arm is carried out later.
  double copied = 0.0;
};

// Runs owners of the switch against the group, 10 ms per iteration.
class World {
 public:
  World(const FaultChances& chances, std::uint64_t seed)
      : chances_(chances), random_(seed) {
    TakeOver();
  }

  void Run(int iterations) {
    for (int i = 0; i < iterations; ++i) {
      now_ += Milliseconds(10);
      RunIteration(i);
    }
  }

  // Runs with reliable engines; returns whether the owner then is idle on a map
  // of its own.
  bool Settle() {
    chances_ = {"calm"};
    for (int i = 0; i < 6000; ++i) {
      now_ += Milliseconds(10);
      RunIteration(i);
    }
    return owner_->phase() == SwitchPhase::kIdle &&
           group_.stalled_attempts() == 0 && changes_ > 0;
  }

  const FakeGroup& group() const { return group_; }
  int changes() const { return changes_; }

 private:
  struct Late {
    TimePoint at;
    RankOrder order;
  };

  void TakeOver() {
    ++term_;
    StepSwitchOptions options;
    options.ranks = kRanks;
    owner_.emplace(options, MapVersion(term_ * 1000), now_);
  }

  void RunIteration(int number) {
    if (random_.Chance(chances_.takeover)) {
      TakeOver();
    }
    if (random_.Chance(chances_.reform)) {
      group_.Reform();
    }
    if (number % 3 == 0) {
      group_.BeginStep();
    }
    FreezeSome();
    CarryOutLate();
    if (number % 4 == 0) {
      for (std::uint32_t i = 0; i < kRanks; ++i) {
        if (!IsFrozen(RankIndex(i))) {
          owner_->OnReport(RankIndex(i), group_.Report(RankIndex(i)), now_,
                           now_);
        }
      }
    }
    if (const auto version = owner_->unread_version()) {
      owner_->OnMapRead(*version, MapOf(0));
    }
    if (owner_->phase() == SwitchPhase::kIdle && number % 40 == 0) {
      owner_->Begin(MapOf(static_cast<std::uint32_t>(++changes_)),
                    Duration::zero(), now_);
    }
    for (const RankOrder& order : owner_->Tick(now_)) {
      Send(order);
    }
    // Ranks that are awake report often enough; those returned count as polled.
    owner_->RanksToPoll(now_);
  }

  void FreezeSome() {
    if (chances_.freeze == 0.0) {
      return;
    }
    for (std::uint32_t i = 0; i < kRanks; ++i) {
      if (!IsFrozen(RankIndex(i)) && random_.Chance(chances_.freeze)) {
        frozen_until_[RankIndex(i)] =
            now_ + random_.Between(Milliseconds(20), Seconds(4));
      }
    }
  }

  bool IsFrozen(RankIndex rank) const {
    const auto found = frozen_until_.find(rank);
    return found != frozen_until_.end() && now_ < found->second;
  }

  void Send(const RankOrder& order) {
    if (IsFrozen(order.rank)) {
      if (std::holds_alternative<ArmMap>(order.order) &&
          random_.Chance(chances_.not_sent)) {
        owner_->OnAnswer(order, OrderAnswer::kNotSent, now_);
        return;
      }
      // The order may also have been carried out right before the freeze.
      if (random_.Chance(0.5)) {
        group_.Execute(order);
      } else {
        late_.push_back({frozen_until_[order.rank], order});
      }
      owner_->OnAnswer(order, OrderAnswer::kUnanswered, now_);
      return;
    }
    if (random_.Chance(chances_.late)) {
      late_.push_back({now_ + random_.Between(Seconds(2), Seconds(12)), order});
      owner_->OnAnswer(order, OrderAnswer::kUnanswered, now_);
      return;
    }
    const OrderAnswer answer = group_.Execute(order);
    if (chances_.copied > 0.0 && std::holds_alternative<ArmMap>(order.order) &&
        random_.Chance(chances_.copied)) {
      late_.push_back(
          {now_ + random_.Between(Milliseconds(10), Seconds(12)), order});
    }
    owner_->OnAnswer(
        order,
        random_.Chance(chances_.lost) ? OrderAnswer::kUnanswered : answer,
        now_);
  }

  void CarryOutLate() {
    for (auto item = late_.begin(); item != late_.end();) {
      if (now_ < item->at) {
        ++item;
        continue;
      }
      group_.Execute(item->order);
      item = late_.erase(item);
    }
  }

  FaultChances chances_;
  Random random_;
  TimePoint now_ = TimeAt(Seconds(1000));
  FakeGroup group_{kRanks};
  std::optional<StepSwitch> owner_;
  std::vector<Late> late_;
  std::map<RankIndex, TimePoint> frozen_until_;
  std::uint64_t term_ = 0;
  int changes_ = 0;
};

// Guards against a step that begins while some ranks have switched and others
// have not, because an order was lost, late or given by a predecessor. All
// answers of the group are then wrong without any error.
TEST_CASE("no step begins with two maps, whatever happens to the orders") {
  const FaultChances cases[] = {
      {"calm"},
      {"answers are lost", 0.3},
      {"orders are late", 0.0, 0.35},
      {"owners change", 0.0, 0.0, 0.02},
      {"owners change and orders are late", 0.1, 0.3, 0.01},
      {"the group forms again", 0.1, 0.2, 0.005, 0.005},
      {"VMs freeze", 0.0, 0.0, 0.0, 0.0, 0.002},
      {"VMs freeze and answers are lost", 0.2, 0.0, 0.0, 0.0, 0.002},
      {"VMs freeze, owners change, orders are late", 0.1, 0.2, 0.005, 0.0,
       0.001},
      {"VMs freeze and are found silent", 0.2, 0.0, 0.0, 0.0, 0.002, 0.7},
      {"VMs freeze and are found silent, owners change, orders are late", 0.1,
       0.2, 0.005, 0.0, 0.002, 0.7},
      {"orders to arm are carried out twice", 0.0, 0.0, 0.0, 0.0, 0.0, 0.0,
       0.5},
      {"the same, VMs freeze, owners change, orders are late", 0.1, 0.2, 0.005,
       0.0, 0.002, 0.7, 0.5},
  };
  for (const FaultChances& chances : cases) {
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
      CAPTURE(chances.name);
      CAPTURE(seed);
      World world(chances, seed);
      world.Run(4000);
      CHECK(world.group().mixed_map_steps() == 0);
      CHECK(world.Settle());
      CHECK(world.group().mixed_map_steps() == 0);
    }
  }
}

TEST_CASE("a group without faults is switched without a stall") {
  World world({"calm"}, 1);
  world.Run(500);
  CHECK(world.changes() > 5);
  CHECK(world.group().stalled_attempts() == 0);
  CHECK(world.group().map().value() > 1000);
}

// One owner and four ranks, of which some are silent.
class SilentRankWorld {
 public:
  SilentRankWorld() : owner_(Options(), MapVersion(1000), now_) {
    for (int i = 0; i < 100 && owner_.phase() != SwitchPhase::kIdle; ++i) {
      RunIteration();
      ReadMap();
    }
  }

  void ReadMap() {
    if (const auto version = owner_.unread_version()) {
      owner_.OnMapRead(*version, MapOf(0));
    }
  }
  void SetReportLag(Duration lag) { report_lag_ = lag; }

  void RunIteration() {
    now_ += Milliseconds(10);
    for (std::uint32_t i = 0; i < kRanks; ++i) {
      if (!silent_.contains(RankIndex(i))) {
        owner_.OnReport(RankIndex(i), group_.Report(RankIndex(i)),
                        now_ - report_lag_, now_);
      }
    }
    for (const RankOrder& order : owner_.Tick(now_)) {
      has_held_ = has_held_ || std::holds_alternative<HoldStep>(order.order);
      copy_orders_ += std::holds_alternative<PrepareMap>(order.order) ? 1 : 0;
      owner_.OnAnswer(order, AnswerTo(order), now_);
    }
    for (const RankIndex rank : owner_.RanksToPoll(now_)) {
      ++poll_counts_[rank];
    }
  }

  void Run(Duration length) {
    for (const TimePoint end = now_ + length; now_ < end;) {
      RunIteration();
    }
  }

  // Runs until the phase is reached; returns false after 100 iterations.
  bool RunUntil(SwitchPhase phase) {
    for (int i = 0; i < 100 && owner_.phase() != phase; ++i) {
      RunIteration();
    }
    return owner_.phase() == phase;
  }

  // Simulates the replacement of a rank; the group forms again.
  void Reform() { group_.Reform(); }

  void Begin(Duration copies = {}) { owner_.Begin(MapOf(1), copies, now_); }
  // Runs steps until the engines have reached the step of the change.
  void RunSteps() {
    for (int i = 0; i < 100; ++i) {
      group_.BeginStep();
    }
  }
  void Silence(RankIndex rank) { silent_.insert(rank); }
  // Whether orders to arm reach silent ranks, or are not sent to them because
  // they do not respond.
  void SetGuarded(bool is_guarded) { is_guarded_ = is_guarded; }
  // Delivers a report that the rank sent at `responded_at` only now.
  void DeliverLate(RankIndex rank, TimePoint responded_at) {
    owner_.OnReport(rank, group_.Report(rank), responded_at, responded_at);
  }
  TimePoint now() const { return now_; }
  void Wake() { silent_.clear(); }
  // Copies at the rank take until this is called again or EndCopies() is.
  void SetCopying(std::optional<RankIndex> rank) { copying_ = rank; }
  void EndCopies() {
    copying_.reset();
    group_.Execute(*begun_);
  }
  bool has_held() const { return has_held_; }
  int mixed_map_steps() const { return group_.mixed_map_steps(); }
  int copy_orders() const { return copy_orders_; }
  int poll_count(RankIndex rank) { return poll_counts_[rank]; }
  MapVersion version() const { return owner_.version(); }
  SwitchPhase phase() const { return owner_.phase(); }

 private:
  static StepSwitchOptions Options() {
    StepSwitchOptions options;
    options.ranks = kRanks;
    return options;
  }

  OrderAnswer AnswerTo(const RankOrder& order) {
    if (silent_.contains(order.rank)) {
      return is_guarded_ && std::holds_alternative<ArmMap>(order.order)
                 ? OrderAnswer::kNotSent
                 : OrderAnswer::kUnanswered;
    }
    const bool copies = std::holds_alternative<PrepareMap>(order.order) &&
                        copying_ == order.rank;
    if (copies) {
      begun_ = order;
      return OrderAnswer::kBegun;
    }
    return group_.Execute(order);
  }

  TimePoint now_ = TimeAt(Seconds(1000));
  FakeGroup group_{kRanks};
  StepSwitch owner_;
  std::set<RankIndex> silent_;
  std::optional<RankIndex> copying_;
  std::optional<RankOrder> begun_;
  Duration report_lag_{};
  std::map<RankIndex, int> poll_counts_;
  int copy_orders_ = 0;
  bool has_held_ = false;
  bool is_guarded_ = true;
};

// Guards against a group that is stalled for as long as VMs are frozen that
// were never sent an order to arm, also where several of them freeze together.
TEST_CASE(
    "a change is cleared without the ranks that were not sent the order") {
  const std::vector<std::vector<std::uint32_t>> silent_sets = {
      {1}, {kRanks - 1}, {1, 2}, {1, kRanks - 1}, {1, 2, 3}};
  for (const std::vector<std::uint32_t>& silent : silent_sets) {
    CAPTURE(silent.size());
    CAPTURE(silent.front());
    SilentRankWorld world;
    const MapVersion before = world.version();
    world.Begin();
    REQUIRE(world.RunUntil(SwitchPhase::kHolding));
    for (const std::uint32_t rank : silent) {
      world.Silence(RankIndex(rank));
    }
    CHECK(world.RunUntil(SwitchPhase::kClearing));
    CHECK(world.RunUntil(SwitchPhase::kReleasing));
    world.RunIteration();
    world.RunSteps();
    CHECK(world.mixed_map_steps() == 0);
    CHECK(world.version() == before);
    world.Wake();
    world.Run(Seconds(2));
    CHECK(world.phase() == SwitchPhase::kIdle);
    CHECK(world.mixed_map_steps() == 0);
  }
}

// Guards against a step that begins with two maps because a rank that an
// earlier order may have reached counts as one that was never sent any.
TEST_CASE("a rank that may have got an earlier order is waited for") {
  SilentRankWorld world;
  world.Begin();
  REQUIRE(world.RunUntil(SwitchPhase::kHolding));
  world.SetGuarded(false);
  world.Silence(RankIndex(1));
  world.RunIteration();
  world.SetGuarded(true);
  world.Run(Seconds(1));
  CHECK(world.phase() == SwitchPhase::kArming);
  world.Wake();
  CHECK(world.RunUntil(SwitchPhase::kSettling));
  world.RunSteps();
  CHECK(world.mixed_map_steps() == 0);
}

// A rank confirms its copies immediately and its VM freezes; the last of the
// others confirms 350 ms later, the step is held, and the frozen rank can't be
// armed. Guards against a group that is stalled for as long as the VM is frozen
// because the hold relied on confirmations as old as the longest copy.
TEST_CASE("no step is held while a rank is silent since it prepared") {
  for (std::uint32_t silent = 0; silent < kRanks - 1; ++silent) {
    CAPTURE(silent);
    SilentRankWorld world;
    REQUIRE(world.phase() == SwitchPhase::kIdle);
    world.SetCopying(RankIndex(kRanks - 1));
    world.Begin();
    world.Run(Milliseconds(300));
    world.Silence(RankIndex(silent));
    world.Run(Milliseconds(50));
    world.SetCopying(std::nullopt);
    world.Run(Seconds(4));
    CHECK_FALSE(world.has_held());
    // Later the group can be switched as usual.
    world.Wake();
    world.Run(Seconds(1));
    REQUIRE(world.phase() == SwitchPhase::kIdle);
    world.Begin();
    world.Run(Milliseconds(300));
    CHECK(world.has_held());
  }
}

// The ranks of a failure domain are polled in one round; one of them answers
// and freezes with its VM; the response of the round waits 0.1 s for another
// rank and arrives after the last copy is done. Guards against the same stall
// because a reply counted by the time of its arrival instead of its sending.
TEST_CASE("a reply sent before its rank froze does not count") {
  for (std::uint32_t frozen = 0; frozen < kRanks - 1; ++frozen) {
    CAPTURE(frozen);
    SilentRankWorld world;
    REQUIRE(world.phase() == SwitchPhase::kIdle);
    world.SetCopying(RankIndex(kRanks - 1));
    world.Begin();
    world.Run(Milliseconds(300));
    const TimePoint frozen_at = world.now();
    world.Silence(RankIndex(frozen));
    world.Run(Milliseconds(50));
    world.SetCopying(std::nullopt);
    for (int i = 0; i < 100; ++i) {
      world.RunIteration();
      world.DeliverLate(RankIndex(frozen), frozen_at);
    }
    CHECK_FALSE(world.has_held());
  }
}

// The group forms again, and each rank's report of the new epoch describes it
// as of 0.3 s before, as those of distant ranks do. Guards against a group that
// runs with its first map for 0.4 to 0.8 s longer than necessary because
// reports from before the epoch became known did not count, although nobody had
// sent an order in it.
TEST_CASE("a group that formed again is ready once all ranks report it") {
  SilentRankWorld world;
  world.SetReportLag(Milliseconds(300));
  world.Run(Seconds(1));
  REQUIRE(world.phase() == SwitchPhase::kIdle);
  world.Reform();
  world.RunIteration();
  world.RunIteration();
  CHECK(world.phase() == SwitchPhase::kObserving);
  world.ReadMap();
  world.RunIteration();
  CHECK(world.phase() == SwitchPhase::kIdle);
  world.Begin();
  CHECK(world.RunUntil(SwitchPhase::kSettling));
}

// The step has begun with the new map, and the owner waits until each rank has
// reported that. Guards against a next change that begins 0.24 to 0.45 s late
// with 72 ranks, while every step lasts three times as long as it should: one
// report is enough, because all ranks begin a step together.
TEST_CASE("a change ends once any rank is known to have begun its step") {
  for (std::uint32_t responding = 0; responding < kRanks; ++responding) {
    CAPTURE(responding);
    SilentRankWorld world;
    const MapVersion before = world.version();
    world.Begin();
    REQUIRE(world.RunUntil(SwitchPhase::kSettling));
    for (std::uint32_t i = 0; i < kRanks; ++i) {
      if (i != responding) {
        world.Silence(RankIndex(i));
      }
    }
    // No rank has begun the step.
    world.Run(Milliseconds(200));
    CHECK(world.phase() == SwitchPhase::kSettling);
    CHECK(world.version() == before);
    world.RunSteps();
    world.Run(Milliseconds(20));
    CHECK(world.phase() == SwitchPhase::kIdle);
    CHECK(world.version() > before);
  }
}

// The order to copy, with the whole map, is sent to each rank again and again
// until it answers that it is done. Guards against a preparation of 0.2 s for
// copies of 0.1 s because the answer to the order was the only sign of
// completion; a report is small and shows the same.
TEST_CASE("copying ranks are polled when they should be done, not ordered") {
  SilentRankWorld world;
  const RankIndex slow(kRanks - 1);
  world.SetCopying(slow);
  world.Begin(Milliseconds(100));
  world.Run(Milliseconds(90));
  CHECK(world.copy_orders() == kRanks);
  CHECK(world.poll_count(slow) == 0);
  world.Run(Milliseconds(30));
  CHECK(world.poll_count(slow) > 0);
  CHECK(world.phase() == SwitchPhase::kPreparing);
  world.EndCopies();
  REQUIRE(world.RunUntil(SwitchPhase::kSettling));
  CHECK(world.copy_orders() == kRanks);
}

TEST_CASE("a rank that does not report its copies is sent the order again") {
  SilentRankWorld world;
  world.SetCopying(RankIndex(1));
  world.Begin(Milliseconds(100));
  world.Run(Milliseconds(300));
  CHECK(world.copy_orders() == kRanks);
  world.Run(Milliseconds(300));
  CHECK(world.copy_orders() == kRanks + 1);
}

}  // namespace
}  // namespace bilberryspool::groups
