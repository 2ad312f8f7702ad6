// How the state and the counts of a group's ranks reach its leader.
//
// A sidecar reads its engine and tells a RankReading; a node that reads several
// ranks answers a RoundQuestion of the leader with a RoundAnswer, and passes a
// WideOrder on to them.

#ifndef LIBS_GROUPS_RANK_ROUND_H_
#define LIBS_GROUPS_RANK_ROUND_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/groups/engine_order.h"
#include "libs/packing/packed_text.h"
#include "libs/placement/counter_tracker.h"

namespace bilberryspool::groups {

// One engine, as the sidecar beside it read it.
struct RankReading {
  EngineReport report;
  placement::ReadingMark mark;
  // Nothing where the reading that was asked for is not the last one.
  std::optional<placement::CounterGrowth> growth;
};

// Where one rank is to be read.
struct RankAddress {
  RankIndex rank;
  std::string engine;  // "ip:port"
};

struct RoundQuestion {
  GroupId group;
  // Of the last answer that the asker got from this node.
  placement::ReadingMark mark;
  // See placement::PickWeightOptions.
  double read_work = 1.0;
  // How many experts all layers have together.
  std::uint32_t counters = 0;
  std::vector<RankAddress> ranks;
};

// What one rank said.
struct RankWord {
  RankIndex rank;
  // How long after the question came the rank was asked. The report describes
  // it as it was then or later.
  Duration asked_after{};
  EngineReport report;
};

struct RoundAnswer {
  FailureDomain domain;  // of the node that answers
  placement::ReadingMark mark;
  // Ranks that did not answer in time have none.
  std::vector<RankWord> words;
  // By layer, then expert, of all ranks that were read since the answer that
  // the question names; empty where that is not the last one.
  std::vector<double> work;
};

// One order to several ranks, which is the same for each.
struct WideOrder {
  std::vector<RankAddress> ranks;
  // How long each engine may take to answer.
  Duration patience{};
  std::string method;
  std::string target;
  std::string content_type;
  packing::PackedText body;
};

// What the engines answered, in the order of the ranks; 0: nothing.
struct WideAnswer {
  std::vector<std::uint32_t> statuses;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_RANK_ROUND_H_
