// Guards against callers that leave a frozen VM before they are told, so that
// their runs go on.
//
// The world models how a leader polls (GroupTask, PollingSchedule), publishes
// (ControlNode::SetSlowTargets) and is followed (ControlFollower), and how a
// gateway sends its own probes; the units that decide are the product's.

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "libs/groups/silent_ranks.h"
#include "libs/traffic/relay_rules.h"
#include "libs/traffic/target_pool.h"
#include "libs/traffic/target_probes.h"
#include "libs/traffic/watch_codec.h"

namespace bilberryspool::gateway {
namespace {

constexpr std::uint32_t kRanks = 16;
constexpr std::uint32_t kFrozenRank = 7;
constexpr Duration kPatience = Seconds(2);
constexpr Duration kStep = Milliseconds(1);
constexpr Duration kNever = Seconds(100);
constexpr TimePoint kFreezeAt = TimeAt(Seconds(1000));

// All times are relative to the freeze.
struct Sequence {
  const char* name;
  // Sizes of the parts of the group that one control node polls each.
  std::vector<std::uint32_t> parts = {5, 5, 6};
  // The last ranks, besides the frozen one, are silent from `cut_from` on.
  std::uint32_t others_silent = 0;
  Duration cut_from = Duration::zero();
  // Another leader takes over; the old one names nobody from `old_ends_at` on.
  Duration new_leader_at = kNever;
  Duration old_ends_at = kNever;
  // The old leader is dead: it does not answer the gateway's query that is
  // pending.
  bool is_old_dead = false;
  // The leader does not know the addresses of all ranks.
  bool lacks_address = false;
  // The leader neither ticks nor reads answers for a while.
  Duration late_from = kNever;
  Duration late_for = Duration::zero();
  // Another target turned slow and was published.
  Duration other_published_at = kNever;
  // The gateway does not reach the leader.
  Duration unreached_from = kNever;
  Duration unreached_until = kNever;
  // The gateway's connection to the leader is reset.
  Duration reset_at = kNever;
};

// One leader's view of the group.
class Leader {
 public:
  Leader(const Sequence& sequence, TimePoint begins)
      : sequence_(sequence), tick_due_(begins) {
    std::uint32_t first = 0;
    for (const std::uint32_t size : sequence.parts) {
      parts_.push_back({first, size, begins, {}});
      first += size;
    }
  }

  void Run(TimePoint now) {
    const Duration since = now - kFreezeAt;
    if (since >= sequence_.late_from &&
        since < sequence_.late_from + sequence_.late_for) {
      return;
    }
    EndRounds(now);
    EndPolls(now);
    if (now < tick_due_) {
      return;
    }
    tick_due_ = now + Milliseconds(25);
    if (sequence_.lacks_address) {
      return;
    }
    silence_.Tick(now);
    StartRounds(now);
    PollSilentRanks(now);
    Publish(now);
  }

  bool names_frozen() const { return names_frozen_; }

 private:
  struct Part {
    std::uint32_t first;
    std::uint32_t size;
    TimePoint due;
    std::optional<TimePoint> asked_at;
  };
  struct Poll {
    RankIndex rank;
    TimePoint asked;
  };

  bool IsSilent(std::uint32_t rank, TimePoint now) const {
    if (rank == kFrozenRank) {
      return now >= kFreezeAt;
    }
    return rank >= kRanks - sequence_.others_silent &&
           now - kFreezeAt >= sequence_.cut_from;
  }

  void StartRounds(TimePoint now) {
    for (Part& part : parts_) {
      if (!part.asked_at.has_value() && now >= part.due) {
        part.asked_at = now;
      }
    }
  }

  // As RankPoller::Read(), GroupTask::RecordSilentRanks() and
  // PollingSchedule::OnAnswer().
  void EndRounds(TimePoint now) {
    constexpr Duration kReply = Milliseconds(4);
    constexpr Duration kRoundTimeout = Milliseconds(100);
    constexpr Duration kMinInterval = Milliseconds(60);
    for (Part& part : parts_) {
      if (!part.asked_at.has_value()) {
        continue;
      }
      std::vector<RankIndex> silent;
      for (std::uint32_t i = part.first; i < part.first + part.size; ++i) {
        if (IsSilent(i, *part.asked_at + kReply / 2)) {
          silent.emplace_back(i);
        }
      }
      const Duration took = silent.empty() ? kReply : kRoundTimeout;
      if (now < *part.asked_at + took) {
        continue;
      }
      for (std::uint32_t i = part.first; i < part.first + part.size; ++i) {
        const RankIndex rank(i);
        if (std::find(silent.begin(), silent.end(), rank) == silent.end()) {
          silence_.OnResponse(rank, now);
        }
      }
      if (silent.size() * 2 < part.size) {
        for (const RankIndex rank : silent) {
          silence_.OnTimeout(rank, now);
        }
      }
      part.due = *part.asked_at + std::max(kMinInterval, took * 3 / 2);
      part.asked_at.reset();
    }
  }

  // As GroupTask::PollSilentRanks() and RequestReport().
  void PollSilentRanks(TimePoint now) {
    constexpr Duration kSilenceTimeout = Milliseconds(250);
    constexpr std::size_t kMaxPollsPerBatch = 8;
    constexpr Duration kPerPoll = Milliseconds(5);
    if (now < silent_poll_due_) {
      return;
    }
    std::size_t count = 0;
    for (std::uint32_t i = 0; i < kRanks && count < kMaxPollsPerBatch; ++i) {
      const RankIndex rank(i);
      if (!silence_.HasResponded(rank, kSilenceTimeout, now) &&
          now - polled_at_[rank] > kSilenceTimeout) {
        polled_at_[rank] = now;
        polls_.push_back({rank, now});
        ++count;
      }
    }
    silent_poll_due_ = now + kPerPoll * static_cast<Duration::rep>(count);
  }

  void EndPolls(TimePoint now) {
    constexpr Duration kReply = Milliseconds(4);
    constexpr Duration kReportTimeout = Milliseconds(340);
    std::erase_if(polls_, [&](const Poll& poll) {
      const bool is_silent = IsSilent(poll.rank.value(), poll.asked);
      if (now < poll.asked + (is_silent ? kReportTimeout : kReply)) {
        return false;
      }
      if (!is_silent) {
        silence_.OnResponse(poll.rank, now);
      } else if (!silence_.WasLateSince(poll.asked, now)) {
        silence_.OnTimeout(poll.rank, now);
      }
      return true;
    });
  }

  // As ControlNode::SetSlowTargets().
  void Publish(TimePoint now) {
    constexpr Duration kMinUpdateInterval = Milliseconds(500);
    if (now - kFreezeAt >= sequence_.other_published_at &&
        !std::exchange(has_published_other_, true)) {
      published_at_ = now;
    }
    const bool names = silence_.Missing(now).contains(RankIndex(kFrozenRank));
    if (names != names_frozen_ && now - published_at_ >= kMinUpdateInterval) {
      names_frozen_ = names;
      published_at_ = now;
    }
  }

  const Sequence& sequence_;
  groups::SilentRanks silence_;
  std::vector<Part> parts_;
  std::vector<Poll> polls_;
  std::map<RankIndex, TimePoint> polled_at_;
  TimePoint tick_due_;
  TimePoint silent_poll_due_;
  TimePoint published_at_;
  bool has_published_other_ = false;
  bool names_frozen_ = false;
};

// A gateway's connection to one control node.
class Follower {
 public:
  static constexpr Duration kRetryDelay = Milliseconds(150);

  Follower(std::string source, traffic::TargetPool& pool)
      : source_(std::move(source)), pool_(pool) {}

  // The pending query ends with an error.
  void Reset(TimePoint now) {
    pool_.SetSlow(source_, {});
    answered_ = false;
    asked_at_.reset();
    is_query_lost_ = false;
    retry_at_ = now + kRetryDelay;
  }
  // `is_answered`: the node lives and is reached. `names` is what it publishes.
  void Run(bool is_answered, bool names, TimePoint now) {
    constexpr Duration kWatchTimeout =
        traffic::kMaxWatchDuration + Milliseconds(600);
    if (now < retry_at_) {
      return;
    }
    if (!asked_at_.has_value()) {
      asked_at_ = now;
    }
    if (!is_answered) {
      is_query_lost_ = true;
    }
    // A query or an answer that met a cut does not arrive any more.
    if (is_query_lost_) {
      if (now >= *asked_at_ + kWatchTimeout) {
        Reset(now);
      }
      return;
    }
    // The node answers at once only if what it publishes has changed since its
    // last answer.
    if (names != answered_ || now >= *asked_at_ + traffic::kMaxWatchDuration) {
      answered_ = names;
      pool_.SetSlow(
          source_,
          names ? std::map<std::string, double>{{"10.3.0.30:1",
                                                 traffic::kUnresponsivePace}}
                : std::map<std::string, double>());
      asked_at_.reset();
    }
  }

 private:
  std::string source_;
  traffic::TargetPool& pool_;
  std::optional<TimePoint> asked_at_;
  TimePoint retry_at_;
  bool is_query_lost_ = false;
  bool answered_ = false;
};

// Probes of the frozen target's VM, as gateway::TargetProber sends them.
class Prober {
 public:
  explicit Prober(TimePoint waits_since) {
    probes_.OnSent(kTarget, waits_since);
    // As after an earlier request.
    for (const auto& due : probes_.Tick(waits_since)) {
      probes_.OnProbeEnded(due, traffic::ProbeResult::kAnswered, waits_since);
    }
  }

  void Tick(TimePoint now) {
    for (const auto& due : probes_.Tick(now)) {
      Probe(due, now);
    }
  }
  void Run(TimePoint now) {
    if (probe_.has_value() && now >= probe_->ends_at) {
      const InFlight ended = *std::exchange(probe_, std::nullopt);
      probes_.OnProbeEnded(ended.probe, ended.result, now);
      Tick(now);
    }
  }
  bool IsUnresponsive(TimePoint now) const {
    return probes_.IsUnresponsive(kTarget, now);
  }

 private:
  struct InFlight {
    traffic::TargetProbes::DueProbe probe;
    TimePoint ends_at;
    traffic::ProbeResult result;
  };

  void Probe(const traffic::TargetProbes::DueProbe& due, TimePoint now) {
    constexpr Duration kReply = Milliseconds(4);
    probe_ = now < kFreezeAt
                 ? InFlight{due, now + kReply, traffic::ProbeResult::kAnswered}
                 : InFlight{due, now + probes_.answer_timeout(),
                            traffic::ProbeResult::kUnanswered};
  }

  inline static const TargetId kTarget{"frozen"};
  traffic::TargetProbes probes_{traffic::TargetProbesOptions{}};
  std::optional<InFlight> probe_;
};

struct Outcome {
  // When the gateway first knew, and when it ended the caller; relative to the
  // caller's last event.
  std::optional<Duration> known;
  std::optional<Duration> ended;
};

// `phase` shifts the polls against the freeze; the caller's last event came
// `last_event` before the freeze.
Outcome Play(const Sequence& sequence, Duration phase, Duration last_event) {
  constexpr Duration kReviewInterval = Milliseconds(100);
  const TimePoint start = kFreezeAt - Seconds(3) + phase;
  const TimePoint waits_since = kFreezeAt - last_event;
  Leader old_leader(sequence, start);
  std::optional<Leader> new_leader;
  traffic::TargetPool pool({}, /*seed=*/1);
  traffic::TargetRecord record;
  record.announcement.target = TargetId("frozen");
  record.announcement.service = ServiceId("model");
  record.announcement.address = "10.3.0.30:1";
  record.announcement.slots = 8;
  pool.Update("old", /*is_whole=*/true, {record}, start);
  Follower old_follower("old", pool);
  Follower new_follower("new", pool);
  std::optional<Prober> prober;
  TimePoint review_due = start;
  Outcome outcome;
  for (TimePoint now = start; now < waits_since + kPatience; now += kStep) {
    const Duration since = now - kFreezeAt;
    const bool is_old_over = since >= sequence.old_ends_at;
    if (!is_old_over) {
      old_leader.Run(now);
    }
    if (since >= sequence.new_leader_at) {
      if (!new_leader.has_value()) {
        new_leader.emplace(sequence, now);
      }
      new_leader->Run(now);
    }
    const bool is_reached =
        since < sequence.unreached_from || since >= sequence.unreached_until;
    if (since == sequence.reset_at) {
      old_follower.Reset(now);
    }
    old_follower.Run(is_reached && !(is_old_over && sequence.is_old_dead),
                     !is_old_over && old_leader.names_frozen(), now);
    new_follower.Run(is_reached,
                     new_leader.has_value() && new_leader->names_frozen(), now);
    if (now >= waits_since && !prober.has_value()) {
      prober.emplace(waits_since);
    }
    if (prober.has_value()) {
      prober->Run(now);
    }
    const bool knows = pool.IsUnresponsive(TargetId("frozen")) ||
                       (prober.has_value() && prober->IsUnresponsive(now));
    if (knows && !outcome.known.has_value()) {
      outcome.known = now - waits_since;
    }
    if (now >= review_due) {
      review_due = now + kReviewInterval;
      if (prober.has_value()) {
        prober->Tick(now);
      }
      if (now >= waits_since &&
          traffic::IsTargetLost({now - waits_since, knows})) {
        outcome.ended = now - waits_since;
        break;
      }
    }
  }
  return outcome;
}

std::string ToText(const std::optional<Duration>& time) {
  return time.has_value() ? std::to_string(*time / Milliseconds(1)) : "never";
}

void CheckEnded(const Sequence& sequence) {
  CAPTURE(sequence.name);
  constexpr Duration kPhaseStep = Milliseconds(7);
  constexpr Duration kMaxPhase = Milliseconds(150);
  int plays = 0;
  int left = 0;
  std::optional<Duration> first_known;
  std::optional<Duration> last_known;
  bool is_ever_unknown = false;
  std::optional<Duration> last_ended;
  for (const Duration last_event : {Duration::zero(), Milliseconds(100)}) {
    for (Duration phase{}; phase < kMaxPhase; phase += kPhaseStep) {
      const Outcome outcome = Play(sequence, phase, last_event);
      ++plays;
      left += outcome.ended.has_value() ? 0 : 1;
      if (outcome.known.has_value()) {
        first_known = std::min(first_known.value_or(kNever), *outcome.known);
        last_known = std::max(last_known.value_or(-kNever), *outcome.known);
      }
      is_ever_unknown = is_ever_unknown || !outcome.known.has_value();
      if (outcome.ended.has_value()) {
        last_ended = std::max(last_ended.value_or(-kNever), *outcome.ended);
      }
    }
  }
  MESSAGE(std::string(sequence.name), ": callers that left ", left, " of ",
          plays, "; known after ", ToText(first_known), " to ",
          ToText(last_known),
          std::string(is_ever_unknown ? " ms or never" : " ms"),
          "; ended after ", ToText(last_ended), " ms at the latest");
  CHECK(left == 0);
}

TEST_CASE("a caller at a frozen target is ended before it leaves") {
  CheckEnded({.name = "nothing else happens"});
}

TEST_CASE("a change of leader lets no caller leave a frozen target") {
  for (const auto& [name, at] :
       std::map<std::string, Duration>{{"0.3 s before", Milliseconds(-300)},
                                       {"0.05 s before", Milliseconds(-50)},
                                       {"0.3 s after", Milliseconds(300)},
                                       {"0.9 s after", Milliseconds(900)},
                                       {"1.5 s after", Milliseconds(1500)}}) {
    const std::string handed = "leader hands over " + name + " the freeze";
    CheckEnded(
        {.name = handed.c_str(), .new_leader_at = at, .old_ends_at = at});
    const std::string died = "leader dies, new one 0.7 s later, " + name;
    CheckEnded({.name = died.c_str(),
                .new_leader_at = at + Milliseconds(700),
                .old_ends_at = at,
                .is_old_dead = true});
  }
}

TEST_CASE("a late leader lets no caller leave a frozen target") {
  for (const std::int64_t late_for : {200, 500, 800, 1000, 1200, 1500}) {
    for (const std::int64_t late_from : {0, 400}) {
      const std::string name = "leader late for " + std::to_string(late_for) +
                               " ms from " + std::to_string(late_from) + " ms";
      CheckEnded({.name = name.c_str(),
                  .late_from = Milliseconds(late_from),
                  .late_for = Milliseconds(late_for)});
    }
  }
}

TEST_CASE("silence of other ranks lets no caller leave a frozen target") {
  CheckEnded({.name = "6 others silent too", .others_silent = 6});
  CheckEnded({.name = "7 others silent too", .others_silent = 7});
  CheckEnded({.name = "7 others silent from 0.5 s",
              .others_silent = 7,
              .cut_from = Milliseconds(500)});
  CheckEnded({.name = "7 others silent from 1.2 s",
              .others_silent = 7,
              .cut_from = Milliseconds(1200)});
  CheckEnded(
      {.name = "polled in parts of two", .parts = {2, 2, 2, 2, 2, 2, 2, 2}});
}

TEST_CASE("a lost path to the leader lets no caller leave a frozen target") {
  CheckEnded({.name = "gateway does not reach the leader",
              .unreached_from = Milliseconds(-100)});
  for (const std::int64_t from :
       {-1000, -600, -200, 200, 500, 700, 1000, 1400}) {
    const std::string name =
        "one moment without a path at " + std::to_string(from) + " ms";
    CheckEnded({.name = name.c_str(),
                .unreached_from = Milliseconds(from),
                .unreached_until = Milliseconds(from + 10)});
  }
}

// A gateway forgets what a control node named when its connection breaks, and
// must be told again at once.
TEST_CASE("a reset connection lets no caller leave a frozen target") {
  for (const std::int64_t at : {300, 800, 900, 1000, 1200, 1500}) {
    const std::string name =
        "connection to the leader reset at " + std::to_string(at) + " ms";
    CheckEnded({.name = name.c_str(), .reset_at = Milliseconds(at)});
  }
}

TEST_CASE("other news of the leader let no caller leave a frozen target") {
  CheckEnded({.name = "the leader lacks the address of a rank",
              .lacks_address = true});
  CheckEnded({.name = "another target published at 0.6 s",
              .other_published_at = Milliseconds(600)});
  CheckEnded({.name = "another published at 0.6 s, leader late 0.4 s",
              .late_from = Duration::zero(),
              .late_for = Milliseconds(400),
              .other_published_at = Milliseconds(600)});
}

}  // namespace
}  // namespace bilberryspool::gateway
