// Messages that carry the state and the expert counts of a group's ranks to its
// leader.
//
// A sidecar reads its engine and sends a RankReading. A node that polls several
// ranks answers the leader's RoundRequest with a RoundResponse, and forwards a
// MulticastOrder to the ranks.

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

// State of one engine as read by its sidecar.
struct RankReading {
  EngineReport report;
  placement::ReadingMark mark;
  // Empty if the reading that the request names is not the last one.
  std::optional<placement::CounterGrowth> growth;
};

// Where one rank is polled.
struct RankAddress {
  RankIndex rank;
  std::string engine;  // "ip:port"
};

struct RoundRequest {
  GroupId group;
  // Mark of the last response that the requester received from this node.
  placement::ReadingMark mark;
  // See placement::PickWeightOptions.
  double read_work = 1.0;
  // Number of experts of all layers together.
  std::uint32_t counters = 0;
  std::vector<RankAddress> ranks;
};

// Result of polling one rank.
struct RankPollResult {
  RankIndex rank;
  // Time from the arrival of the request until the rank was polled. The report
  // describes the rank as of then or later.
  Duration poll_delay{};
  EngineReport report;
};

struct RoundResponse {
  FailureDomain domain;  // of the responding node
  placement::ReadingMark mark;
  // Leaves out ranks that did not answer in time.
  std::vector<RankPollResult> results;
  // By layer, then expert, of all ranks that were read since the response that
  // the request names; empty if that is not the last one.
  std::vector<double> work;
};

// One order that is the same for several ranks.
struct MulticastOrder {
  std::vector<RankAddress> ranks;
  // How long to wait for the answer of each engine.
  Duration timeout{};
  std::string method;
  std::string target;
  std::string content_type;
  packing::PackedText body;
  // Whether each rank is polled first and gets the order only if it responds;
  // see OrderGuard.
  bool is_guarded = false;
  // A sidecar sends the order to its engine once more if that has not answered
  // after this time; zero: it does not.
  Duration repeat_after{};
};

// HTTP statuses of the engines' answers, in the order of the ranks; 0 means no
// answer.
struct MulticastResult {
  // The rank did not respond to a poll; the order was not sent to it.
  static constexpr std::uint32_t kNotSent = 1;

  std::vector<std::uint32_t> statuses;
};

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_RANK_ROUND_H_
