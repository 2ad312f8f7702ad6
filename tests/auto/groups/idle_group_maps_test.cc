// No step begins with two maps although the group is idle for a while.
//
// An idle group begins no step. A step that was released therefore lies ahead
// for as long as the group is idle, and a late order of an earlier owner to
// release or to disarm still has an effect when its successor acts.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "auto/groups/fake_group.h"
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

struct Faults {
  const char* name;
  double lost = 0.0;      // carried out at once, not answered
  double late = 0.0;      // not answered, carried out up to 8 s later
  double repeated = 0.0;  // answered, and carried out again up to 8 s later
  double takeover = 0.0;  // of another owner, in each iteration
  double freeze = 0.0;    // of each rank's VM, for up to 4 s
  double not_sent = 0.0;  // that an order to arm meets a frozen VM and is kept
  double idle = 0.0;      // the group turns idle, in each iteration
};

// 10 ms per iteration.
class IdleWorld {
 public:
  IdleWorld(const Faults& faults, std::uint64_t seed)
      : faults_(faults), random_(seed) {
    TakeOver();
  }

  void Run(int iterations) {
    for (int i = 0; i < iterations; ++i) {
      now_ += Milliseconds(10);
      RunIteration(i);
    }
  }
  const FakeGroup& group() const { return group_; }

 private:
  struct Late {
    TimePoint at;
    RankOrder order;
  };

  void TakeOver() {
    ++term_;
    StepSwitchOptions options;
    options.ranks = kRanks;
    options.term = Term(term_);
    owner_.emplace(options, MapVersion(term_ * 1000), now_);
  }

  void RunIteration(int number) {
    if (random_.Chance(faults_.takeover)) {
      TakeOver();
    }
    if (random_.Chance(faults_.idle)) {
      idle_until_ = now_ + random_.Between(Milliseconds(50), Seconds(4));
    }
    if (number % 3 == 0 && now_ >= idle_until_) {
      group_.BeginStep();
    }
    for (std::uint32_t i = 0; i < kRanks; ++i) {
      if (!IsFrozen(RankIndex(i)) && random_.Chance(faults_.freeze)) {
        frozen_until_[RankIndex(i)] =
            now_ + random_.Between(Milliseconds(20), Seconds(4));
      }
    }
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
    if (owner_->phase() == SwitchPhase::kIdle && number % 10 == 0) {
      owner_->Begin(MapOf(++changes_), Duration::zero(), now_);
    }
    for (const RankOrder& order : owner_->Tick(now_)) {
      Send(order);
    }
    owner_->RanksToPoll(now_);
  }

  bool IsFrozen(RankIndex rank) const {
    const auto found = frozen_until_.find(rank);
    return found != frozen_until_.end() && now_ < found->second;
  }

  TimePoint LateTime() {
    return now_ + random_.Between(Milliseconds(20), Seconds(8));
  }

  void Send(const RankOrder& order) {
    if (IsFrozen(order.rank)) {
      if (std::holds_alternative<ArmMap>(order.order) &&
          random_.Chance(faults_.not_sent)) {
        owner_->OnAnswer(order, OrderAnswer::kNotSent, now_);
        return;
      }
      if (random_.Chance(0.5)) {
        group_.Execute(order);
      } else {
        late_.push_back({frozen_until_[order.rank], order});
      }
      owner_->OnAnswer(order, OrderAnswer::kUnanswered, now_);
      return;
    }
    if (random_.Chance(faults_.late)) {
      late_.push_back({LateTime(), order});
      owner_->OnAnswer(order, OrderAnswer::kUnanswered, now_);
      return;
    }
    const OrderAnswer answer = group_.Execute(order);
    if (std::holds_alternative<ArmMap>(order.order) &&
        random_.Chance(faults_.repeated)) {
      late_.push_back({LateTime(), order});
    }
    owner_->OnAnswer(
        order, random_.Chance(faults_.lost) ? OrderAnswer::kUnanswered : answer,
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

  Faults faults_;
  Random random_;
  TimePoint now_ = TimeAt(Seconds(1000));
  TimePoint idle_until_;
  FakeGroup group_{kRanks};
  std::optional<StepSwitch> owner_;
  std::vector<Late> late_;
  std::map<RankIndex, TimePoint> frozen_until_;
  std::uint64_t term_ = 0;
  std::uint32_t changes_ = 0;
};

// Guards against a step that begins with two maps because an order of an
// earlier owner is carried out late while the group is idle.
TEST_CASE("no step begins with two maps where the group is idle at times") {
  const Faults cases[] = {
      {"orders are repeated", 0.0, 0.0, 0.5, 0.0, 0.0, 0.0, 0.01},
      {"VMs freeze, orders are repeated", 0.1, 0.1, 0.5, 0.0, 0.002, 0.7, 0.01},
      {"orders are late", 0.1, 0.3, 0.2, 0.0, 0.0, 0.0, 0.01},
      {"owners change", 0.1, 0.0, 0.2, 0.008, 0.0, 0.0, 0.01},
      {"owners change and orders are late", 0.1, 0.3, 0.2, 0.008, 0.0, 0.0,
       0.01},
      {"VMs freeze, owners change, orders are late", 0.1, 0.2, 0.2, 0.005,
       0.002, 0.7, 0.01},
  };
  constexpr std::uint64_t kSeeds = 200;
  for (const Faults& faults : cases) {
    int worlds_with_two_maps = 0;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      IdleWorld world(faults, seed);
      world.Run(4000);
      worlds_with_two_maps += world.group().mixed_map_steps() > 0 ? 1 : 0;
    }
    MESSAGE(std::string(faults.name),
            ": worlds with a step with two maps: ", worlds_with_two_maps,
            " of ", kSeeds);
    CHECK(worlds_with_two_maps == 0);
  }
}

}  // namespace
}  // namespace bilberryspool::groups
