#include "libs/spread/spreader.h"

#include <algorithm>
#include <utility>

#include "libs/base/check.h"

namespace bilberryspool::spread {
namespace {

// A peer is sent this node's confirmation only if it is at least this much more
// recent than the peer's.
constexpr Duration kMinAgeImprovement = Seconds(2);

}  // namespace

Spreader::Spreader(SpreaderOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      history_(options_.history_steps, options_.history_bytes) {}

std::vector<SpreaderAction> Spreader::Handle(const SpreaderEvent& event,
                                             TimePoint now) {
  Actions actions;
  std::visit([&](const auto& known) { Apply(known, now, &actions); }, event);
  return actions;
}

std::optional<Duration> Spreader::config_age(TimePoint now) const {
  if (leading_) {
    return Duration(0);
  }
  if (!confirmed_at_) {
    return std::nullopt;
  }
  return now - *confirmed_at_;
}

bool Spreader::stale(TimePoint now) const {
  const std::optional<Duration> age = config_age(now);
  return !age || *age > options_.stale_after || newest_known_ > have_.version;
}

void Spreader::Apply(const LeadershipChanged& event,
                     TimePoint now,
                     Actions* actions) {
  if (leading_ && !event.leading) {
    confirmed_at_ = now;
  }
  leading_ = event.leading;
  version_changed_at_ = now;
  next_confirm_ = now;
  PushAll(now, actions);
}

void Spreader::Apply(const StepAccepted& event,
                     TimePoint now,
                     Actions* actions) {
  if (event.step.to.version <= have_.version) {
    return;
  }
  history_.Add(event.step);
  SetVersion(event.step.to, now, actions);
}

void Spreader::Apply(const StateAdopted& event,
                     TimePoint now,
                     Actions* actions) {
  if (event.at.version <= have_.version) {
    return;
  }
  history_.Clear();
  SetVersion(event.at, now, actions);
}

void Spreader::Apply(const TopologyChanged& event,
                     TimePoint now,
                     Actions* actions) {
  topology_ = event;
  std::erase_if(peers_,
                [this](const auto& item) { return !IsKnownPeer(item.first); });
  PushAll(now, actions);
}

void Spreader::Apply(const DeltaReceived& event,
                     TimePoint now,
                     Actions* actions) {
  const DeltaMessage& message = event.message;
  NoteSender(message.sender, now, actions);
  if (message.steps.empty()) {
    return;
  }
  const ConfigPoint& newest = message.steps.back().to;
  if (message.relay) {
    relay_version_ = std::max(relay_version_, newest.version);
  }
  if (newest.version <= have_.version) {
    actions->push_back(SendHave{message.sender.node, MakeHave(now)});
    PushAll(now, actions);
    return;
  }
  if (options_.role == SpreaderRole::kControl || applying_) {
    return;
  }
  std::vector<DeltaStep> steps;
  for (const DeltaStep& step : message.steps) {
    if (!steps.empty() || step.from == have_) {
      steps.push_back(step);
    }
  }
  if (steps.empty() || have_.version == ConfigVersion()) {
    Pull(message.sender.node, now, actions);
    return;
  }
  applying_ = newest;
  applying_from_ = message.sender;
  applying_steps_ = steps;
  actions->push_back(ApplySteps{std::move(steps)});
}

void Spreader::Apply(const FullReceived& event,
                     TimePoint now,
                     Actions* actions) {
  const FullMessage& message = event.message;
  NoteSender(message.sender, now, actions);
  if (message.relay) {
    relay_version_ = std::max(relay_version_, message.at.version);
  }
#if !defined(BILBERRYSPOOL_MUTATION_OLDER_FULL_STATE_APPLIED)
  if (message.at.version <= have_.version) {
    actions->push_back(SendHave{message.sender.node, MakeHave(now)});
    return;
  }
#endif
  if (options_.role == SpreaderRole::kControl || applying_) {
    return;
  }
  if (have_.version != ConfigVersion()) {
    StartFull(message, actions);
    return;
  }
  // After a start without state, the first node that responds may itself be
  // outdated, so the newest of several offers is applied.
  if (!offer_deadline_) {
    offer_deadline_ = now + options_.offer_window;
  }
  if (!best_offer_ || best_offer_->at.version < message.at.version) {
    best_offer_ = message;
  }
}

void Spreader::StartFull(const FullMessage& message, Actions* actions) {
  applying_ = message.at;
  applying_from_ = message.sender;
  applying_steps_.clear();
  actions->push_back(ApplyFull{message.at, message.bytes});
}

void Spreader::ApplyBestOffer(TimePoint now, Actions* actions) {
  if (!best_offer_ || applying_ || now < *offer_deadline_) {
    return;
  }
  const FullMessage offer = *std::move(best_offer_);
  best_offer_.reset();
  offer_deadline_.reset();
  if (offer.at.version > have_.version) {
    StartFull(offer, actions);
  }
}

void Spreader::Apply(const Applied& event, TimePoint now, Actions* actions) {
  if (!applying_) {
    return;
  }
  applying_.reset();
  if (applying_steps_.empty()) {
    history_.Clear();
  }
  for (const DeltaStep& step : applying_steps_) {
    history_.Add(step);
  }
  applying_steps_.clear();
  SetVersion(event.at, now, actions);
  NoteConfirmation(applying_from_, now);
  actions->push_back(SendHave{applying_from_.node, MakeHave(now)});
}

void Spreader::Apply(const ApplyFailed& /*event*/,
                     TimePoint now,
                     Actions* actions) {
  if (!applying_) {
    return;
  }
  const bool was_delta = !applying_steps_.empty();
  applying_.reset();
  applying_steps_.clear();
  if (!was_delta) {
    return;  // the next comparison asks another node
  }
  HaveMessage message = MakeHave(now);
  message.wants_full = true;
  actions->push_back(SendHave{applying_from_.node, std::move(message)});
}

void Spreader::Apply(const HaveReceived& event,
                     TimePoint now,
                     Actions* actions) {
  const HaveMessage& message = event.message;
  const SenderState& sender = message.sender;
  NoteSender(sender, now, actions);
  NoteReports(message, now);
  if (sender.have.version > have_.version) {
    if (options_.role != SpreaderRole::kControl) {
      Pull(sender.node, now, actions);
    }
    return;
  }
  if (sender.have.version == have_.version) {
    const std::optional<Duration> age = config_age(now);
    if (age && (!sender.confirmed || sender.age > *age + kMinAgeImprovement)) {
      actions->push_back(SendHave{sender.node, MakeHave(now)});
    }
    return;
  }
  if (message.wants_full) {
    actions->push_back(
        SendFull{sender.node, FullMessage{MakeSender(now), have_, {}, false}});
    return;
  }
  if (message.wants_newer) {
    SendNewer(sender.node, sender.have, false, now, actions);
    return;
  }
  PeerState& peer = peers_[sender.node];
  if (now >= peer.retry_at) {
    peer.tries = 0;
    peer.sent = ConfigVersion();
  }
  PushTo(sender.node, false, now, actions);
}

void Spreader::SetVersion(const ConfigPoint& point,
                          TimePoint now,
                          Actions* actions) {
  BILBERRYSPOOL_INVARIANT(point.version > have_.version,
                          "the configuration version in force never decreases");
  have_ = point;
  newest_known_ = std::max(newest_known_, point.version);
  version_changed_at_ = now;
  PushAll(now, actions);
}

void Spreader::NoteSender(const SenderState& sender,
                          TimePoint now,
                          Actions* actions) {
  newest_known_ =
      std::max({newest_known_, sender.newest_known, sender.have.version});
  peers_[sender.node].known = sender.have;
  if (sender.have.version == have_.version && sender.have != have_) {
    actions->push_back(ReportDivergence{sender.node, have_, sender.have});
    return;
  }
  NoteConfirmation(sender, now);
}

void Spreader::NoteConfirmation(const SenderState& sender, TimePoint now) {
  if (!sender.confirmed || sender.have != have_) {
    return;
  }
  const TimePoint at = now - sender.age;
  confirmed_at_ = confirmed_at_ ? std::max(*confirmed_at_, at) : at;
}

// Several peers may announce a newer state at almost the same time; only one of
// them is asked per retry interval.
void Spreader::Pull(const NodeId& node, TimePoint now, Actions* actions) {
  if (applying_ || now < next_pull_) {
    return;
  }
  next_pull_ = now + options_.retry;
  HaveMessage message = MakeHave(now);
  message.wants_newer = true;
  actions->push_back(SendHave{node, std::move(message)});
}

}  // namespace bilberryspool::spread
