// Bounded greedy local search for a better placement of one layer.

#ifndef LIBS_PLACEMENT_LAYER_SEARCH_H_
#define LIBS_PLACEMENT_LAYER_SEARCH_H_

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "libs/placement/expert_loads.h"
#include "libs/placement/expert_map.h"

namespace bilberryspool::placement {

struct RankCapacity {
  double speed = 1;         // work per second, relative to a healthy rank
  std::uint32_t slots = 0;  // maximum number of experts in one layer
  bool usable = true;       // whether it may get new copies
};

using CopySet = std::set<std::pair<ExpertKey, RankIndex>>;

// Constraints that operators set on single copies.
struct OperatorRules {
  CopySet pinned;     // copies that must exist
  CopySet forbidden;  // copies that must not exist
};

// Addition or removal of one copy. Only an addition costs a fetch.
struct CopyChange {
  ExpertKey key;
  RankIndex rank;
  bool adds = true;

  auto operator<=>(const CopyChange&) const = default;
};

// Changes that are applied together. Every expert has a copy after each move.
struct Move {
  std::vector<CopyChange> changes;
  double layer_time_after = 0;

  std::uint32_t fetches() const;
};

// Models the distribution of a layer's work over the ranks and searches for
// improvements. The work of an expert is divided evenly among its copies; a
// layer takes as long as its slowest rank.
class LayerSearch {
 public:
  // The arguments must outlive the search.
  LayerSearch(const ExpertMap& map,
              const ExpertLoads& loads,
              const std::vector<RankCapacity>& ranks,
              const OperatorRules& rules,
              LayerIndex layer);

  // Seconds of work of the slowest rank per second of load; at 1 that rank is
  // fully utilized.
  double layer_time() const;
  const std::vector<double>& rank_times() const { return times_; }

  // Applies and returns the best single move that takes work from the slowest
  // rank; nothing if no move improves the layer.
  std::optional<Move> Improve();
  // Applies and returns the moves that the operators' rules require.
  std::vector<Move> Enforce();

 private:
  struct Candidate {
    std::vector<CopyChange> changes;
    double score = 0;
  };

  std::vector<RankIndex> LeastLoadedRanks(RankIndex except) const;
  RankIndex SlowestRank() const;
  void Consider(std::vector<CopyChange> changes,
                std::optional<Candidate>& best);
  void ConsiderDestination(ExpertIndex expert,
                           RankIndex from,
                           RankIndex to,
                           std::optional<Candidate>& best);
  void EnforcePin(ExpertIndex expert, RankIndex rank, std::vector<Move>& out);
  void EnforceForbidden(ExpertIndex expert,
                        RankIndex rank,
                        std::vector<Move>& out);
  Move Commit(std::vector<CopyChange> changes);
  double PenaltyOf(double time) const;
  void Apply(const CopyChange& change);
  void AddWork(ExpertIndex expert, double sign);
  bool Holds(RankIndex rank, ExpertIndex expert) const;
  bool CanRemove(ExpertIndex expert, RankIndex rank) const;
  bool CanAdd(ExpertIndex expert, RankIndex rank) const;
  bool HasRoom(RankIndex rank) const;
  ExpertKey KeyOf(ExpertIndex expert) const { return {layer_, expert}; }

  const std::vector<RankCapacity>& ranks_;
  const OperatorRules& rules_;
  LayerIndex layer_;
  std::vector<double> loads_;                   // by expert
  std::vector<std::vector<RankIndex>> copies_;  // by expert
  std::vector<std::vector<ExpertIndex>> held_;  // by rank
  std::vector<double> times_;                   // by rank
  double ideal_time_ = 1;
  // Penalties of `times_` and their sum, updated incrementally.
  std::vector<double> penalties_;
  double penalty_ = 0;
};

}  // namespace bilberryspool::placement

#endif  // LIBS_PLACEMENT_LAYER_SEARCH_H_
