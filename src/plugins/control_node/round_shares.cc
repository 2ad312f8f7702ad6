#include "plugins/control_node/round_shares.h"

#include <algorithm>
#include <cstddef>
#include <iterator>
#include <set>
#include <utility>

namespace bilberryspool::control_node {

namespace {

constexpr Duration kShortestInterval = Milliseconds(60);
// What one rank takes of a node that has 0.15 of a core for all it does, and of
// the leader, which has more to do.
constexpr Duration kTimePerRank = Microseconds(2500);
constexpr Duration kLeaderTimePerRank = Microseconds(4000);
// Ranks that the leader reads at a time. All at once would hold up all else
// that it does, and then it would take whoever answers it for lost.
constexpr std::size_t kLeaderPortion = 24;
constexpr std::uint32_t kMostFailures = 3;
// From one question to the next, in the time that the last answer took.
constexpr double kRestFactor = 1.5;
// A node that did not answer is tried again after this.
constexpr Duration kRest = Seconds(1);

}  // namespace

void RoundShares::SetRank(RankIndex rank, const FailureDomain& domain) {
  ranks_[rank] = domain;
}

void RoundShares::SetReaders(const std::vector<net::Endpoint>& readers) {
  std::erase_if(readers_, [&](const auto& item) {
    const auto& [endpoint, reader] = item;
    return endpoint.has_value() && !reader.is_asked &&
           std::find(readers.begin(), readers.end(), *endpoint) ==
               readers.end();
  });
  for (const net::Endpoint& endpoint : readers) {
    readers_[endpoint];
  }
}

// Each rank to a reader of its domain, else to the one that has least.
void RoundShares::ShareOut(TimePoint now) {
  std::vector<Reader*> usable;
  for (auto& [endpoint, reader] : readers_) {
    reader.ranks.clear();
    if (endpoint.has_value() && now >= reader.rests_until) {
      usable.push_back(&reader);
    }
  }
  if (usable.empty()) {
    usable.push_back(&readers_.at(std::nullopt));
  }
  std::vector<RankIndex> left;
  for (const auto& item : ranks_) {
    const FailureDomain& domain = item.second;
    const auto near = std::find_if(
        usable.begin(), usable.end(),
        [&](const Reader* reader) { return reader->domain == domain; });
    if (near == usable.end()) {
      left.push_back(item.first);
      continue;
    }
    (*near)->ranks.push_back(item.first);
  }
  for (const RankIndex rank : left) {
    const auto least =
        std::min_element(usable.begin(), usable.end(),
                         [](const Reader* one, const Reader* other) {
                           return one->ranks.size() < other->ranks.size();
                         });
    (*least)->ranks.push_back(rank);
  }
}

std::vector<Round> RoundShares::Due(TimePoint now) {
  ShareOut(now);
  std::vector<Round> rounds;
  for (auto& [endpoint, reader] : readers_) {
    if (reader.is_asked || reader.ranks.empty() || now < reader.due) {
      continue;
    }
    const Duration each =
        endpoint.has_value() ? kTimePerRank : kLeaderTimePerRank;
    Round round{endpoint,
                endpoint.has_value() ? reader.ranks : PortionOf(reader.ranks)};
    const auto count = static_cast<Duration::rep>(round.ranks.size());
    reader.due = now + std::max(kShortestInterval, each * count);
    reader.asked_at = now;
    reader.is_asked = true;
    reader.is_hastened = false;
    rounds.push_back(std::move(round));
  }
  return rounds;
}

// Of the leader's ranks, in turn.
std::vector<RankIndex> RoundShares::PortionOf(
    const std::vector<RankIndex>& ranks) {
  std::vector<RankIndex> portion;
  const std::size_t count = std::min(kLeaderPortion, ranks.size());
  for (std::size_t i = 0; i < count; ++i) {
    portion.push_back(ranks[portion_++ % ranks.size()]);
  }
  return portion;
}

std::vector<Round> RoundShares::Split(const std::vector<RankIndex>& ranks,
                                      TimePoint now) {
  ShareOut(now);
  const std::set<RankIndex> wanted(ranks.begin(), ranks.end());
  std::vector<Round> parts;
  for (const auto& [endpoint, reader] : readers_) {
    Round part{endpoint, {}};
    std::copy_if(reader.ranks.begin(), reader.ranks.end(),
                 std::back_inserter(part.ranks),
                 [&](RankIndex rank) { return wanted.contains(rank); });
    if (!part.ranks.empty()) {
      parts.push_back(std::move(part));
    }
  }
  return parts;
}

void RoundShares::End(const Round& round, TimePoint now) {
  const auto found = readers_.find(round.reader);
  if (found == readers_.end()) {
    return;
  }
  Reader& reader = found->second;
  reader.is_asked = false;
  reader.due = std::max(reader.due, now);
}

void RoundShares::OnAnswer(const Round& round,
                           const FailureDomain& domain,
                           TimePoint now) {
  End(round, now);
  const auto found = readers_.find(round.reader);
  if (found != readers_.end()) {
    Reader& reader = found->second;
    reader.domain = domain;
    reader.failures = 0;
    const Duration took = now - reader.asked_at;
    const Duration rested(static_cast<Duration::rep>(
        kRestFactor * static_cast<double>(took.count())));
    reader.due = reader.is_hastened
                     ? now
                     : std::max(reader.due, reader.asked_at + rested);
  }
}

void RoundShares::OnFailure(const Round& round, bool was_late, TimePoint now) {
  End(round, now);
  const auto found = readers_.find(round.reader);
  if (found == readers_.end() || !round.reader.has_value()) {
    return;
  }
  const bool is_lost = ++found->second.failures >= kMostFailures;
  if (is_lost || !was_late) {
    Rest(*round.reader, now);
  }
}

void RoundShares::Rest(const net::Endpoint& reader, TimePoint now) {
  const auto found = readers_.find(reader);
  if (found != readers_.end()) {
    found->second.rests_until = now + kRest;
    found->second.failures = 0;
  }
}

void RoundShares::Hasten(TimePoint now) {
  for (auto& [endpoint, reader] : readers_) {
    reader.due = std::min(reader.due, now);
    reader.is_hastened = reader.is_asked;
  }
}

}  // namespace bilberryspool::control_node
