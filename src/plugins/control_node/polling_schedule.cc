#include "plugins/control_node/polling_schedule.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <utility>

namespace bilberryspool::control_node {

namespace {

constexpr Duration kMinInterval = Milliseconds(60);
// Time that polling one rank takes on a node that has 0.15 of a core for all
// its work, and on the leader, which has more other work.
constexpr Duration kTimePerRank = Microseconds(2500);
constexpr Duration kLeaderTimePerRank = Microseconds(4000);
// Number of ranks that the leader polls at a time. Polling all ranks at once
// would delay its other work so much that it would consider the nodes that
// answer it lost.
constexpr std::size_t kLeaderBatchSize = 24;
constexpr std::uint32_t kMaxFailures = 3;
// Minimum time between the starts of two rounds, as a multiple of the duration
// of the last one.
constexpr double kIntervalFactor = 1.5;
// How long a node that did not respond is not used.
constexpr Duration kCooldown = Seconds(1);

}  // namespace

void PollingSchedule::SetRank(RankIndex rank, const FailureDomain& domain) {
  ranks_[rank] = domain;
}

void PollingSchedule::SetReaders(const std::vector<net::Endpoint>& readers) {
  std::erase_if(readers_, [&](const auto& item) {
    const auto& [endpoint, reader] = item;
    return endpoint.has_value() && !reader.is_in_flight &&
           std::find(readers.begin(), readers.end(), *endpoint) ==
               readers.end();
  });
  for (const net::Endpoint& endpoint : readers) {
    readers_[endpoint];
  }
}

// Assigns each rank to a reader in its failure domain, as long as that reader
// has no more than an equal share, or else to the reader with the fewest ranks.
void PollingSchedule::AssignRanks(TimePoint now) {
  std::vector<Reader*> usable;
  for (auto& [endpoint, reader] : readers_) {
    reader.ranks.clear();
    if (endpoint.has_value() && now >= reader.cooldown_until) {
      usable.push_back(&reader);
    }
  }
  if (usable.empty()) {
    usable.push_back(&readers_.at(std::nullopt));
  }
  const auto has_fewer_ranks = [](const Reader* one, const Reader* other) {
    return one->ranks.size() < other->ranks.size();
  };
  const std::size_t equal_share =
      (ranks_.size() + usable.size() - 1) / usable.size();
  std::vector<RankIndex> unassigned;
  for (const auto& item : ranks_) {
    const FailureDomain& domain = item.second;
    std::vector<Reader*> same_domain;
    std::copy_if(usable.begin(), usable.end(), std::back_inserter(same_domain),
                 [&](const Reader* reader) {
                   return reader->domain == domain &&
                          reader->ranks.size() < equal_share;
                 });
    if (same_domain.empty()) {
      unassigned.push_back(item.first);
      continue;
    }
    (*std::min_element(same_domain.begin(), same_domain.end(), has_fewer_ranks))
        ->ranks.push_back(item.first);
  }
  for (const RankIndex rank : unassigned) {
    (*std::min_element(usable.begin(), usable.end(), has_fewer_ranks))
        ->ranks.push_back(rank);
  }
}

std::vector<PollingRound> PollingSchedule::StartDueRounds(TimePoint now) {
  AssignRanks(now);
  std::vector<PollingRound> rounds;
  for (auto& [endpoint, reader] : readers_) {
    if (reader.is_in_flight || reader.ranks.empty() || now < reader.due) {
      continue;
    }
    const Duration each =
        endpoint.has_value() ? kTimePerRank : kLeaderTimePerRank;
    PollingRound round{endpoint, endpoint.has_value()
                                     ? reader.ranks
                                     : NextLeaderBatch(reader.ranks)};
    const auto count = static_cast<Duration::rep>(round.ranks.size() * groups_);
    reader.due = now + std::max(kMinInterval, each * count);
    reader.asked_at = now;
    reader.is_in_flight = true;
    reader.is_expedited = false;
    rounds.push_back(std::move(round));
  }
  return rounds;
}

// Returns the next of the leader's ranks, in rotation.
std::vector<RankIndex> PollingSchedule::NextLeaderBatch(
    const std::vector<RankIndex>& ranks) {
  std::vector<RankIndex> batch;
  const std::size_t count = std::min(
      std::max<std::size_t>(kLeaderBatchSize / groups_, 1), ranks.size());
  for (std::size_t i = 0; i < count; ++i) {
    batch.push_back(ranks[next_batch_start_++ % ranks.size()]);
  }
  return batch;
}

std::vector<PollingRound> PollingSchedule::SplitByReader(
    const std::vector<RankIndex>& ranks,
    TimePoint now) {
  AssignRanks(now);
  const std::set<RankIndex> wanted(ranks.begin(), ranks.end());
  std::vector<PollingRound> parts;
  for (const auto& [endpoint, reader] : readers_) {
    PollingRound part{endpoint, {}};
    std::copy_if(reader.ranks.begin(), reader.ranks.end(),
                 std::back_inserter(part.ranks),
                 [&](RankIndex rank) { return wanted.contains(rank); });
    if (!part.ranks.empty()) {
      parts.push_back(std::move(part));
    }
  }
  return parts;
}

std::vector<PollingRound> PollingSchedule::SplitWithLeader(
    const std::vector<RankIndex>& ranks,
    TimePoint now) {
  std::vector<PollingRound> parts = SplitByReader(ranks, now);
  const std::size_t nodes = parts.size() + 1;
  const std::size_t equal_share = (ranks.size() + nodes - 1) / nodes;
  PollingRound rest{std::nullopt, {}};
  for (PollingRound& part : parts) {
    if (!part.reader.has_value() || part.ranks.size() <= equal_share) {
      continue;
    }
    const auto first_of_rest =
        part.ranks.begin() + static_cast<std::ptrdiff_t>(equal_share);
    rest.ranks.insert(rest.ranks.end(), first_of_rest, part.ranks.end());
    part.ranks.erase(first_of_rest, part.ranks.end());
  }
  if (!rest.ranks.empty()) {
    parts.push_back(std::move(rest));
  }
  return parts;
}

void PollingSchedule::FinishRound(const PollingRound& round, TimePoint now) {
  const auto found = readers_.find(round.reader);
  if (found == readers_.end()) {
    return;
  }
  Reader& reader = found->second;
  reader.is_in_flight = false;
  reader.due = std::max(reader.due, now);
}

void PollingSchedule::OnAnswer(const PollingRound& round,
                               const FailureDomain& domain,
                               TimePoint now) {
  FinishRound(round, now);
  const auto found = readers_.find(round.reader);
  if (found != readers_.end()) {
    Reader& reader = found->second;
    reader.domain = domain;
    reader.failures = 0;
    const Duration took = now - reader.asked_at;
    const Duration min_interval(static_cast<Duration::rep>(
        kIntervalFactor * static_cast<double>(took.count())));
    reader.due = reader.is_expedited
                     ? now
                     : std::max(reader.due, reader.asked_at + min_interval);
  }
}

void PollingSchedule::OnFailure(const PollingRound& round,
                                bool was_leader_late,
                                TimePoint now) {
  FinishRound(round, now);
  const auto found = readers_.find(round.reader);
  if (found == readers_.end() || !round.reader.has_value()) {
    return;
  }
  const bool is_lost = ++found->second.failures >= kMaxFailures;
  if (is_lost || !was_leader_late) {
    StartCooldown(*round.reader, now);
  }
}

void PollingSchedule::StartCooldown(const net::Endpoint& reader,
                                    TimePoint now) {
  const auto found = readers_.find(reader);
  if (found != readers_.end()) {
    found->second.cooldown_until = now + kCooldown;
    found->second.failures = 0;
  }
}

void PollingSchedule::Expedite(TimePoint now) {
  for (auto& [endpoint, reader] : readers_) {
    reader.due = std::min(reader.due, now);
    reader.is_expedited = reader.is_in_flight;
  }
}

}  // namespace bilberryspool::control_node
