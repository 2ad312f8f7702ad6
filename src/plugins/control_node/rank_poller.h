// Polls ranks of a group through their sidecars, all at once, and sums up the
// work that they were requested to do.

#ifndef PLUGINS_CONTROL_NODE_RANK_POLLER_H_
#define PLUGINS_CONTROL_NODE_RANK_POLLER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>

#include "libs/groups/rank_round.h"
#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"
#include "libs/placement/pick_sums.h"
#include "plugins/control_node/engine_calls.h"

namespace bilberryspool::control_node {

// Runs in the control loop, on the leader and on all other control nodes. The
// state of a group that is no longer polled is removed.
class RankPoller {
 public:
  RankPoller(net::NetworkLoop& loop, EngineCalls& calls, FailureDomain domain);

  // Whether a request of another control node is a groups::RoundRequest.
  static bool Handles(const net::HttpRequest& request);
  static net::HttpRequest RequestFor(const groups::RoundRequest& question);

  // Blocks the calling fiber until all ranks have answered, but at most for
  // kRoundTimeout. Later answers are part of the next sum.
  groups::RoundResponse Read(const groups::RoundRequest& question);
  // Like Read(), for another control node; responds with 400 if the request
  // can't be parsed.
  void Answer(net::HttpExchange& exchange);

  static constexpr Duration kRoundTimeout = Milliseconds(100);

 private:
  struct RankReadingState {
    placement::ReadingMark last_mark;
    // A sidecar only reports growth since its last reading. Of two concurrent
    // requests, the second one would get none, and its mark would invalidate
    // the mark of the first one.
    bool is_in_flight = false;
  };
  struct Group {
    std::uint32_t counters = 0;
    placement::PickSums sums;
    std::map<RankIndex, RankReadingState> rank_states;
    TimePoint asked_at;
  };
  // The readings of one polling round.
  struct PollingRound;

  // Returns false if another request to the rank is in flight.
  bool BeginReading(const GroupId& group, RankIndex rank);
  std::optional<groups::RankPollResult> ReadRank(
      const GroupId& group,
      const groups::RankAddress& rank,
      TimePoint begun);
  Group& GroupOf(const groups::RoundRequest& question, TimePoint now);
  void RemoveUnusedGroups(TimePoint now);

  net::NetworkLoop& loop_;
  EngineCalls& calls_;
  FailureDomain domain_;
  std::map<GroupId, Group> groups_;
  std::random_device random_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_RANK_POLLER_H_
