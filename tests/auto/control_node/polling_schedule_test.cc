#include "plugins/control_node/polling_schedule.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "libs/base/random.h"

namespace bilberryspool::control_node {
namespace {

const char* const kDomains[] = {"a", "b", "c", "d", "e"};
constexpr Duration kTick = Milliseconds(25);

net::Endpoint ReaderIn(std::size_t domain) {
  return {"10.0." + std::to_string(domain) + ".1", 7340};
}

FailureDomain DomainOf(std::size_t index) {
  return FailureDomain(kDomains[index % std::size(kDomains)]);
}

// A group of `ranks` in five failure domains. The leader is in the last one,
// which has no other reader.
class PollingSimulation {
 public:
  PollingSimulation(std::uint32_t ranks, std::uint64_t seed) : random_(seed) {
    for (std::uint32_t i = 0; i < ranks; ++i) {
      schedule_.SetRank(RankIndex(i), DomainOf(i));
      read_at_[RankIndex(i)] = now_;
    }
    schedule_.SetReaders(Readers());
  }

  // Readers in `failed` leave requests unanswered.
  void Run(Duration length, const std::set<std::size_t>& failed) {
    const TimePoint end = now_ + length;
    for (; now_ < end; now_ += kTick) {
      for (const PollingRound& round : schedule_.StartDueRounds(now_)) {
        Begin(round, failed);
      }
      EndDue();
    }
  }

  Duration MaxReadAge() const {
    Duration longest{};
    for (const auto& [rank, read_at] : read_at_) {
      longest = std::max(longest, now_ - read_at);
    }
    return longest;
  }

  std::size_t cross_domain_reads() const { return cross_domain_reads_; }
  void ResetCrossDomainReads() { cross_domain_reads_ = 0; }
  PollingSchedule& schedule() { return schedule_; }
  TimePoint now() const { return now_; }

 private:
  struct Pending {
    PollingRound round;
    TimePoint ends;
    bool is_answered = false;
    std::size_t reader = 0;
  };

  static std::vector<net::Endpoint> Readers() {
    return {ReaderIn(0), ReaderIn(1), ReaderIn(2), ReaderIn(3)};
  }

  void Begin(const PollingRound& round, const std::set<std::size_t>& failed) {
    REQUIRE_FALSE(round.ranks.empty());
    Pending pending{round, now_, true, 4};
    for (std::size_t i = 0; round.reader.has_value() && i < 4; ++i) {
      pending.reader = *round.reader == ReaderIn(i) ? i : pending.reader;
    }
    pending.is_answered = !failed.contains(pending.reader);
    pending.ends += pending.is_answered
                        ? random_.Between(Milliseconds(5), Milliseconds(100))
                        : Milliseconds(250);
    // A rank has one reader at a time; ranks read by two readers would be
    // counted twice.
    for (const Pending& other : pending_) {
      CHECK(other.reader != pending.reader);
    }
    pending_.push_back(pending);
  }

  void EndDue() {
    std::erase_if(pending_, [this](const Pending& item) {
      if (item.ends > now_) {
        return false;
      }
      if (!item.is_answered) {
        schedule_.OnFailure(item.round, false, now_);
        return true;
      }
      schedule_.OnAnswer(item.round, DomainOf(item.reader), now_);
      for (const RankIndex rank : item.round.ranks) {
        read_at_[rank] = now_;
        cross_domain_reads_ +=
            DomainOf(rank.value()) == DomainOf(item.reader) ? 0 : 1;
      }
      return true;
    });
  }

  Random random_;
  PollingSchedule schedule_;
  TimePoint now_ = TimeAt(Seconds(5));
  std::vector<Pending> pending_;
  std::map<RankIndex, TimePoint> read_at_;
  std::size_t cross_domain_reads_ = 0;
};

// Guards against a group being stalled for as long as one control node takes to
// reach all ranks of a domain while another one in that domain is idle.
TEST_CASE("control nodes of one domain share its ranks") {
  struct Row {
    std::uint32_t ranks;
    std::vector<std::size_t> reader_domains;
    std::size_t max_ranks;
  };
  const Row rows[] = {
      {63, {0, 1, 1, 2, 2}, 13},
      {72, {0, 1, 1, 2, 2}, 15},
      {16, {1, 2}, 8},
      {63, {1}, 63},
  };
  for (const Row& row : rows) {
    CAPTURE(row.ranks);
    PollingSchedule schedule;
    std::vector<RankIndex> ranks;
    for (std::uint32_t i = 0; i < row.ranks; ++i) {
      ranks.emplace_back(i);
      schedule.SetRank(RankIndex(i), DomainOf(i % 3));
    }
    std::vector<net::Endpoint> readers;
    std::map<net::Endpoint, FailureDomain> domains;
    for (std::size_t i = 0; i < row.reader_domains.size(); ++i) {
      readers.push_back({"10.0.0." + std::to_string(i), 7340});
      domains.emplace(readers.back(), DomainOf(row.reader_domains[i]));
    }
    schedule.SetReaders(readers);
    const TimePoint now = TimeAt(Seconds(5));
    for (const PollingRound& round : schedule.StartDueRounds(now)) {
      schedule.OnAnswer(round, domains.at(*round.reader), now);
    }
    std::size_t assigned = 0;
    for (const PollingRound& part : schedule.SplitByReader(ranks, now)) {
      CHECK(part.ranks.size() <= row.max_ranks);
      assigned += part.ranks.size();
    }
    CHECK(assigned == row.ranks);
  }
}

TEST_CASE("all ranks are read by readers in their domain, for any group size") {
  for (const std::uint32_t ranks : {16U, 72U, 192U}) {
    CAPTURE(ranks);
    PollingSimulation simulation(ranks, 1);
    simulation.Run(Seconds(1), {});
    CHECK(simulation.MaxReadAge() < Milliseconds(300));
    simulation.ResetCrossDomainReads();
    const TimePoint from = simulation.now();
    simulation.Run(Seconds(2), {});
    // The ranks in the leader's domain, which has no other reader, are read by
    // the others; they are a fifth of all.
    const double rounds = ToSeconds(simulation.now() - from) / 0.06;
    CHECK(simulation.cross_domain_reads() <= rounds * (ranks / 5.0 + 1.0));
  }
}

// Guards against maps that ignore the demand in one failure domain. The node
// that reads the domain's ranks dies, freezes or is partitioned, and no other
// node reads them because they stay assigned to it.
TEST_CASE("ranks of a failed reader get another one within a second") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const std::set<std::size_t>& failed :
         {std::set<std::size_t>{0}, {1, 2}, {0, 1, 2, 3}}) {
      CAPTURE(seed);
      CAPTURE(failed.size());
      PollingSimulation simulation(192, seed);
      simulation.Run(Seconds(1), {});
      simulation.Run(Seconds(1), failed);
      if (failed.size() < 4) {
        CHECK(simulation.MaxReadAge() < Seconds(1));
      }
      // If all readers fail, the leader reads the ranks, though slowly.
      simulation.Run(Seconds(2), failed);
      CHECK(simulation.MaxReadAge() < Milliseconds(1300));
      simulation.Run(Seconds(2), {});
      CHECK(simulation.MaxReadAge() < Milliseconds(300));
    }
  }
}

// Guards against a group keeping a map that its demand left 8 s ago, while all
// readers are reported as failed every 1.4 s at the same moment. The leader is
// delayed by 0.3 s, so all calls in flight time out and all readers go into
// cooldown; the leader then reads 192 ranks itself, which delays it by 0.3 s
// again. Its own delay must not count as the readers' failure.
TEST_CASE("a leader that was late itself keeps its readers") {
  for (const std::uint32_t failures : {1U, 2U, 3U}) {
    CAPTURE(failures);
    PollingSchedule schedule;
    for (std::uint32_t i = 0; i < 192; ++i) {
      schedule.SetRank(RankIndex(i), DomainOf(i));
    }
    schedule.SetReaders({ReaderIn(0), ReaderIn(1)});
    TimePoint now = TimeAt(Seconds(1));
    for (std::uint32_t i = 0; i < failures; ++i) {
      for (const PollingRound& round : schedule.StartDueRounds(now)) {
        REQUIRE(round.reader.has_value());
        schedule.OnFailure(round, true, now + Milliseconds(300));
      }
      now += Milliseconds(400);
    }
    const std::vector<PollingRound> rounds = schedule.StartDueRounds(now);
    // After three failures in a row the readers are at fault; the leader then
    // reads the ranks in batches.
    REQUIRE_FALSE(rounds.empty());
    CHECK(rounds[0].reader.has_value() == (failures < 3));
    CHECK((rounds[0].reader.has_value() || rounds[0].ranks.size() <= 24));
  }
}

// Guards against all readers of a fleet answering later and later until none
// answers in time. Each one lacks processor time for a moment, gets the next
// request as soon as it has answered, and never catches up, because the
// interval of requests does not depend on their duration.
TEST_CASE("a reader that takes long is asked less often") {
  struct Row {
    Duration takes;
    Duration next;
  };
  const Row rows[] = {{Milliseconds(10), Milliseconds(60)},
                      {Milliseconds(90), Milliseconds(135)},
                      {Milliseconds(250), Milliseconds(375)}};
  for (const Row& row : rows) {
    CAPTURE(row.takes.count());
    PollingSchedule schedule;
    schedule.SetRank(RankIndex(0), FailureDomain("a"));
    schedule.SetReaders({ReaderIn(0)});
    const TimePoint now = TimeAt(Seconds(1));
    const auto first = schedule.StartDueRounds(now);
    REQUIRE(first.size() == 1);
    schedule.OnAnswer(first[0], FailureDomain("a"), now + row.takes);
    CHECK(schedule.StartDueRounds(now + row.next - Milliseconds(1)).empty());
    CHECK(schedule.StartDueRounds(now + row.next).size() == 1);
  }
}

TEST_CASE("a reader that was removed is not polled") {
  PollingSimulation simulation(16, 3);
  simulation.Run(Seconds(1), {});
  simulation.schedule().SetReaders({});
  for (const PollingRound& round :
       simulation.schedule().StartDueRounds(simulation.now() + Seconds(1))) {
    CHECK_FALSE(round.reader.has_value());
    CHECK(round.ranks.size() == 16);
  }
}

// Guards against one reader that sends the orders to arm to all ranks in turn.
TEST_CASE("the leader takes a share of the orders to arm") {
  struct Row {
    const char* name;
    std::size_t readers;
    std::size_t max_at_reader;
    std::size_t at_leader;
  };
  constexpr Row kRows[] = {{"no reader", 0, 0, 16},
                           {"one reader", 1, 8, 8},
                           {"two readers", 2, 6, 4},
                           {"three readers", 3, 4, 4}};
  for (const Row& row : kRows) {
    CAPTURE(row.name);
    PollingSchedule schedule;
    std::vector<RankIndex> ranks;
    for (std::uint32_t i = 0; i < 16; ++i) {
      schedule.SetRank(RankIndex(i), DomainOf(i));
      ranks.push_back(RankIndex(i));
    }
    std::vector<net::Endpoint> readers;
    for (std::size_t i = 0; i < row.readers; ++i) {
      readers.push_back(ReaderIn(i));
    }
    schedule.SetReaders(readers);
    std::set<RankIndex> sent;
    std::size_t at_leader = 0;
    for (const PollingRound& part :
         schedule.SplitWithLeader(ranks, TimeAt(Seconds(1)))) {
      sent.insert(part.ranks.begin(), part.ranks.end());
      if (!part.reader.has_value()) {
        at_leader += part.ranks.size();
        continue;
      }
      CHECK(part.ranks.size() <= row.max_at_reader);
    }
    CHECK(sent.size() == ranks.size());
    CHECK(at_leader == row.at_leader);
  }
}

TEST_CASE("a round expedited while in flight is followed by another at once") {
  PollingSchedule schedule;
  schedule.SetRank(RankIndex(0), FailureDomain("a"));
  schedule.SetReaders({ReaderIn(0)});
  const TimePoint now = TimeAt(Seconds(1));
  const auto first = schedule.StartDueRounds(now);
  REQUIRE(first.size() == 1);
  schedule.Expedite(now);
  CHECK(schedule.StartDueRounds(now).empty());
  schedule.OnAnswer(first[0], FailureDomain("a"), now + Milliseconds(5));
  const auto second = schedule.StartDueRounds(now + Milliseconds(5));
  REQUIRE(second.size() == 1);
  schedule.OnAnswer(second[0], FailureDomain("a"), now + Milliseconds(9));
  CHECK(schedule.StartDueRounds(now + Milliseconds(10)).empty());
  schedule.Expedite(now + Milliseconds(10));
  CHECK(schedule.StartDueRounds(now + Milliseconds(10)).size() == 1);
}

}  // namespace
}  // namespace bilberryspool::control_node
