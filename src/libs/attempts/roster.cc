#include "libs/attempts/roster.h"

#include <algorithm>
#include <cstdint>
#include <set>
#include <string_view>
#include <utility>

namespace bilberryspool::attempts {
namespace {

// FNV-1a with a final mix. std::hash is unsuitable, as its values may differ
// between builds: all entries must compute the same holders.
class StableHash {
 public:
  void Add(std::string_view text) {
    for (const char letter : text) {
      AddByte(static_cast<unsigned char>(letter));
    }
    AddByte(0);
  }

  std::uint64_t value() const {
    std::uint64_t mixed = state_;
    mixed = (mixed ^ (mixed >> 33U)) * 0xff51afd7ed558ccdULL;
    mixed = (mixed ^ (mixed >> 33U)) * 0xc4ceb9fe1a85ec53ULL;
    return mixed ^ (mixed >> 33U);
  }

 private:
  void AddByte(unsigned char byte) { state_ = (state_ ^ byte) * kPrime; }

  static constexpr std::uint64_t kPrime = 0x100000001b3ULL;
  std::uint64_t state_ = 0xcbf29ce484222325ULL;
};

std::uint64_t Score(const RequestKey& key, const NodeId& node) {
  StableHash hash;
  hash.Add(key.workspace.value());
  hash.Add(key.request.value());
  hash.Add(node.value());
  return hash.value();
}

struct Scored {
  std::uint64_t score;
  const RosterMember* member;
};

std::vector<Scored> Rank(const RequestKey& key, const Roster& roster) {
  std::vector<Scored> ranked;
  ranked.reserve(roster.members.size());
  for (const RosterMember& member : roster.members) {
    ranked.push_back({Score(key, member.node), &member});
  }
  std::sort(ranked.begin(), ranked.end(), [](const Scored& a, const Scored& b) {
    return a.score != b.score ? a.score > b.score
                              : a.member->node < b.member->node;
  });
  return ranked;
}

}  // namespace

HolderSet PickHolders(const RequestKey& key, const Roster& roster) {
  HolderSet set{roster.version, {}};
  std::vector<NodeId> spares;
  std::set<FailureDomain> used;
  for (const Scored& scored : Rank(key, roster)) {
    const bool fresh_domain = used.insert(scored.member->domain).second;
    if (fresh_domain && set.holders.size() < kHoldersPerKey) {
      set.holders.push_back(scored.member->node);
    } else {
      spares.push_back(scored.member->node);
    }
  }
  for (const NodeId& spare : spares) {
    if (set.holders.size() >= kHoldersPerKey) {
      break;
    }
    set.holders.push_back(spare);
  }
  return set;
}

void RosterHistory::Adopt(Roster roster, TimePoint now) {
  if (!known_.empty() && roster.version <= version()) {
    return;
  }
  std::erase_if(known_, [&](const Known& known) {
    return &known != &known_.back() && known.replaced + window_ <= now;
  });
  if (!known_.empty()) {
    known_.back().replaced = now;
  }
  known_.push_back({std::move(roster), now});
}

std::vector<HolderSet> RosterHistory::HoldersOf(const RequestKey& key,
                                                TimePoint now) const {
  std::vector<HolderSet> sets;
  for (const Known& known : known_) {
    const bool newest = &known == &known_.back();
    if (!newest && known.replaced + window_ <= now) {
      continue;
    }
    sets.push_back(PickHolders(key, known.roster));
  }
  return sets;
}

RosterVersion RosterHistory::version() const {
  return known_.empty() ? RosterVersion(0) : known_.back().roster.version;
}

}  // namespace bilberryspool::attempts
