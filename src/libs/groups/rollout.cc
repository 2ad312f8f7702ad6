#include "libs/groups/rollout.h"

#include <algorithm>

#include "libs/base/overloaded.h"

namespace bilberryspool::groups {

Rollout::Rollout(RolloutOptions options, const std::vector<TargetId>& targets)
    : options_(options) {
  for (const TargetId& target : targets) {
    targets_.emplace(target, Target{});
  }
}

std::vector<RolloutAction> Rollout::Handle(const RolloutEvent& event,
                                           TimePoint now) {
  Actions out;
  if (!running_) {
    return out;
  }
  ApplyEvent(event, now);
  CheckDeadlines(now);
  if (failures_ >= options_.max_failures) {
    running_ = false;
    out.emplace_back(RolloutStopped{why_});
    return out;
  }
  Advance(now, out);
  return out;
}

std::optional<TimePoint> Rollout::next_deadline() const {
  std::optional<TimePoint> deadline;
  for (const auto& [id, target] : targets_) {
    // A settling target that does not serve waits for an event, not for a
    // deadline: its deadline may have passed and would wake the caller again
    // and again.
    const bool settling =
        target.stage == RolloutStage::kSettling && target.serving;
    const bool timed = settling || target.stage == RolloutStage::kPreparing ||
                       target.stage == RolloutStage::kSwitching;
    if (!running_ || !timed) {
      continue;
    }
    const TimePoint due =
        target.since + (settling ? options_.settle_time : options_.timeout);
    deadline = deadline ? std::min(*deadline, due) : due;
  }
  return deadline;
}

Rollout::Target* Rollout::Find(const TargetId& target) {
  const auto place = targets_.find(target);
  return place == targets_.end() ? nullptr : &place->second;
}

// Reports that don't match the stage are late or duplicated and are ignored.
void Rollout::ApplyEvent(const RolloutEvent& event, TimePoint now) {
  const auto change_stage = [&](const TargetId& id, RolloutStage from,
                                RolloutStage to) {
    Target* target = Find(id);
    if (target != nullptr && target->stage == from) {
      Enter(*target, to, now);
    }
  };
  std::visit(
      Overloaded{
          [&](const TargetPrepared& prepared) {
            change_stage(prepared.target, RolloutStage::kPreparing,
                         RolloutStage::kPrepared);
          },
          [&](const TargetSwitched& switched) {
            change_stage(switched.target, RolloutStage::kSwitching,
                         RolloutStage::kSettling);
          },
          [&](const TargetFailed& failed) {
            Target* target = Find(failed.target);
            if (target != nullptr && target->stage != RolloutStage::kWaiting) {
              Fail(*target, failed.target.value() + ": " + failed.why);
            }
          },
          [&](const TargetErrors& errors) {
            Target* target = Find(errors.target);
            const bool watched = target != nullptr &&
                                 (target->stage == RolloutStage::kSettling ||
                                  target->stage == RolloutStage::kDone);
            if (watched && errors.share > options_.max_error_share) {
              Fail(*target, errors.target.value() + ": too many errors");
            }
          },
          [&](const TargetServing& serving) {
            Target* target = Find(serving.target);
            if (target != nullptr) {
              target->serving = serving.serving;
            }
          },
          [](const RolloutTick&) {},
      },
      event);
}

void Rollout::Enter(Target& target, RolloutStage stage, TimePoint now) {
  target.stage = stage;
  target.since = now;
}

void Rollout::Fail(Target& target, const std::string& why) {
  if (target.stage == RolloutStage::kFailed) {
    return;
  }
  target.stage = RolloutStage::kFailed;
  ++failures_;
  why_ = why;
}

void Rollout::CheckDeadlines(TimePoint now) {
  for (auto& [id, target] : targets_) {
    const Duration age = now - target.since;
    const bool is_timed = target.stage == RolloutStage::kPreparing ||
                          target.stage == RolloutStage::kSwitching;
    if (is_timed && age >= options_.timeout) {
      Fail(target, id.value() + ": no answer in time");
    }
    // A target that does not serve has not settled, even after the settle time.
    if (target.stage == RolloutStage::kSettling && target.serving &&
        age >= options_.settle_time) {
      target.stage = RolloutStage::kDone;
    }
  }
}

void Rollout::Advance(TimePoint now, Actions& out) {
  for (auto& [id, target] : targets_) {
    const bool may_prepare =
        target.stage == RolloutStage::kWaiting &&
        Count(RolloutStage::kPreparing) < options_.max_preparing;
    if (may_prepare) {
      Enter(target, RolloutStage::kPreparing, now);
      out.emplace_back(PrepareTarget{id});
    }
    if (target.stage == RolloutStage::kPrepared && MaySwitch(target)) {
      Enter(target, RolloutStage::kSwitching, now);
      out.emplace_back(SwitchTarget{id});
    }
  }
  const std::uint32_t ended =
      Count(RolloutStage::kDone) + Count(RolloutStage::kFailed);
  if (ended == targets_.size()) {
    running_ = false;
    out.emplace_back(RolloutDone{});
  }
}

std::uint32_t Rollout::Count(RolloutStage stage) const {
  return static_cast<std::uint32_t>(std::count_if(
      targets_.begin(), targets_.end(),
      [&](const auto& entry) { return entry.second.stage == stage; }));
}

bool Rollout::MaySwitch(const Target& target) const {
  const std::uint32_t busy =
      Count(RolloutStage::kSwitching) + Count(RolloutStage::kSettling);
  std::uint32_t others = 0;
  for (const auto& [id, other] : targets_) {
    const bool serves = other.serving &&
                        other.stage != RolloutStage::kSwitching &&
                        other.stage != RolloutStage::kFailed;
    others += serves && &other != &target ? 1 : 0;
  }
  return busy < options_.max_switching && others >= options_.min_serving;
}

}  // namespace bilberryspool::groups
