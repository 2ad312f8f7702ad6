#include "libs/membership/announcer.h"

#include <algorithm>
#include <utility>

#include "libs/membership/rendezvous.h"

namespace bilberryspool::membership {
namespace {

// Limits the length of the encoded nonce.
constexpr std::uint64_t kNonceRange = 1U << 20U;

}  // namespace

Announcer::Announcer(AnnouncerOptions options, std::uint64_t seed)
    : options_(std::move(options)),
      random_(seed),
      announcement_(options_.description),
      entries_(options_.seeds),
      interval_(options_.interval) {
  announcement_.claim.nonce = random_.Below(kNonceRange);
  announcement_.sequence = 1;
}

std::vector<AnnouncerAction> Announcer::Handle(const AnnouncerEvent& event,
                                               TimePoint now) {
  Actions actions;
  if (identity_lost_) {
    return actions;
  }
  std::visit([&](const auto& known) { Apply(known, now, &actions); }, event);
  return actions;
}

std::optional<TimePoint> Announcer::next_deadline() const {
  if (identity_lost_) {
    return std::nullopt;
  }
  return next_tick_;
}

void Announcer::Apply(const AnnouncerTick& /*event*/,
                      TimePoint now,
                      Actions* actions) {
  if (now < next_tick_) {
    return;
  }
  next_tick_ = now + NextInterval();
  AvoidSilentEntry(now);
  if (confirmed_sequence_ != announcement_.sequence) {
    Announce(now, actions);
  }
  Heartbeat heartbeat{announcement_.target, announcement_.claim,
                      announcement_.sequence, ++heartbeat_number_, load_};
  heartbeat.load.age += now - load_at_;
  heartbeat.entries_digest = DigestOfNames(entries_);
  for (const std::string& entry : SelectEntries(now, 1)) {
    awaiting_reply_from_ = entry;
    actions->push_back(SendHeartbeat{entry, heartbeat});
  }
}

void Announcer::Apply(const DescriptionChanged& event,
                      TimePoint now,
                      Actions* actions) {
  Announcement changed = event.description;
  changed.target = announcement_.target;
  changed.node = announcement_.node;
  changed.claim = announcement_.claim;
  changed.state = announcement_.state;
  changed.sequence = announcement_.sequence;
  if (changed == announcement_) {
    return;
  }
  announcement_ = std::move(changed);
  ++announcement_.sequence;
  Announce(now, actions);
}

void Announcer::Apply(const StateChanged& event,
                      TimePoint now,
                      Actions* actions) {
  if (event.state == announcement_.state ||
      announcement_.state == TargetState::kLeaving) {
    return;
  }
  announcement_.state = event.state;
  ++announcement_.sequence;
  Announce(now, actions);
}

void Announcer::Apply(const LoadMeasured& event,
                      TimePoint now,
                      Actions* /*actions*/) {
  load_ = event.load;
  load_at_ = now;
}

void Announcer::Apply(const ReplyReceived& event,
                      TimePoint now,
                      Actions* actions) {
  avoided_until_.erase(event.entry);
  if (event.entry == awaiting_reply_from_) {
    awaiting_reply_from_.clear();
  }
  if (event.reply.interval > Duration(0)) {
    interval_ = std::clamp(event.reply.interval, options_.interval,
                           options_.max_interval);
  }
  if (!event.reply.entries.empty()) {
    entries_ = event.reply.entries;
  }
  if (event.reply.superseded) {
    HandleSuperseded(event.reply.known, now, actions);
    return;
  }
  if (event.reply.wants_announcement) {
    actions->push_back(SendAnnouncement{event.entry, announcement_});
    return;
  }
  if (event.reply.known != announcement_.claim) {
    return;  // a late response to an earlier claim
  }
  accepted_ = true;
  confirmed_sequence_ = std::max(confirmed_sequence_, event.reply.sequence);
  if (announcement_.state == TargetState::kLeaving &&
      event.reply.sequence == announcement_.sequence) {
    leaving_confirmed_ = true;
  }
}

void Announcer::Announce(TimePoint now, Actions* actions) {
  for (const std::string& entry : SelectEntries(now, options_.fanout)) {
    actions->push_back(SendAnnouncement{entry, announcement_});
  }
}

// A process that was never accepted may have started after its clock was set
// back, so it raises its incarnation above the known claim once. A process that
// was accepted has been replaced; if it raised its incarnation again, two
// processes would take the identity from each other forever.
void Announcer::HandleSuperseded(const Claim& holder,
                                 TimePoint now,
                                 Actions* actions) {
  if (holder <= announcement_.claim) {
    return;  // a response to an earlier claim of this process
  }
  if (accepted_) {
    identity_lost_ = true;
    actions->push_back(IdentityLost{holder});
    return;
  }
  accepted_ = true;
  announcement_.claim.incarnation = holder.incarnation.Next();
  Announce(now, actions);
}

void Announcer::AvoidSilentEntry(TimePoint now) {
  if (!awaiting_reply_from_.empty()) {
    avoided_until_[awaiting_reply_from_] = now + options_.silent_entry_backoff;
  }
  std::erase_if(avoided_until_,
                [now](const auto& item) { return item.second <= now; });
}

std::vector<std::string> Announcer::SelectEntries(TimePoint now,
                                                  std::size_t count) const {
  std::vector<std::string> usable;
  for (const std::string& entry : entries_) {
    const auto avoided = avoided_until_.find(entry);
    if (avoided == avoided_until_.end() || avoided->second <= now) {
      usable.push_back(entry);
    }
  }
  if (usable.empty()) {
    // No known entry responds, as after a network partition. The seeds are
    // tried as well, since all known entries may have been replaced in the
    // meantime.
    usable = entries_;
    usable.insert(usable.end(), options_.seeds.begin(), options_.seeds.end());
    std::sort(usable.begin(), usable.end());
    usable.erase(std::unique(usable.begin(), usable.end()), usable.end());
    const std::size_t start =
        usable.empty() ? 0 : heartbeat_number_ % usable.size();
    std::rotate(usable.begin(),
                usable.begin() + static_cast<std::ptrdiff_t>(start),
                usable.end());
    usable.resize(std::min(count, usable.size()));
    return usable;
  }
  return RankByRendezvous(announcement_.target.value(), std::move(usable),
                          count);
}

// Jitter prevents synchronized heartbeats of agents that were started or
// disconnected together.
Duration Announcer::NextInterval() {
  return random_.Between(interval_ * 9 / 10, interval_ * 11 / 10);
}

}  // namespace bilberryspool::membership
