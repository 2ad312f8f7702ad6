// Schedules which control node polls which ranks of a group for the leader, and
// when.
//
// Each rank is polled ten times a second. With 0.15 of a core, a leader that
// polled 192 ranks itself could do nothing else, and one that polls only a few
// does not know the load of the others. The ranks are therefore divided among
// the other control nodes that respond, with each node polling those in its own
// failure domain first. Equal shares keep the time short in which an order
// reaches all ranks, during which the group may be stalled.
//
// A node that takes long is polled less often: it lacks processor time, and
// more requests would delay it further. A node that does not respond is in
// cooldown, and its ranks are assigned to other nodes from the next round on; a
// rank has one reader at a time, so that nothing is counted twice. If there is
// no other node, the leader polls all ranks in rotation, a few at a time.
//
// Pure: takes events and `now`, returns polling rounds.

#ifndef PLUGINS_CONTROL_NODE_POLLING_SCHEDULE_H_
#define PLUGINS_CONTROL_NODE_POLLING_SCHEDULE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/net/endpoint.h"

namespace bilberryspool::control_node {

// Ranks that one reader polls now.
struct PollingRound {
  std::optional<net::Endpoint> reader;  // nullopt: the leader itself
  std::vector<RankIndex> ranks;
};

class PollingSchedule {
 public:
  void SetRank(RankIndex rank, const FailureDomain& domain);
  // Sets how many groups this node manages. All of them together are polled as
  // often as one would be: the limits are those of the node.
  void SetGroups(std::size_t groups) { groups_ = groups; }
  // Sets the other control nodes that responded recently.
  void SetReaders(const std::vector<net::Endpoint>& readers);
  // Starts a round on each reader that is due, and returns these rounds. They
  // are in flight until OnAnswer() or OnFailure().
  std::vector<PollingRound> StartDueRounds(TimePoint now);
  // Groups `ranks` by the readers that they are assigned to.
  std::vector<PollingRound> SplitByReader(const std::vector<RankIndex>& ranks,
                                          TimePoint now);
  // As SplitByReader(), but the leader itself takes a share, too. No reader
  // gets more than an equal share.
  std::vector<PollingRound> SplitWithLeader(const std::vector<RankIndex>& ranks,
                                            TimePoint now);
  void OnAnswer(const PollingRound& round,
                const FailureDomain& domain,
                TimePoint now);
  // `was_leader_late`: the leader itself was late meanwhile. The answer may
  // have arrived unread, so the reader's cooldown starts only after several
  // failures in a row.
  void OnFailure(const PollingRound& round,
                 bool was_leader_late,
                 TimePoint now);
  // Starts the cooldown of a reader that left another kind of call unanswered.
  void StartCooldown(const net::Endpoint& reader, TimePoint now);
  // Makes all scheduled rounds due now; a reader with a round in flight starts
  // the next one right after it.
  void Expedite(TimePoint now);

 private:
  struct Reader {
    std::optional<FailureDomain> domain;  // known from the first answer on
    bool is_in_flight = false;
    // Number of consecutive rounds without an answer.
    std::uint32_t failures = 0;
    bool is_expedited = false;  // while a round was in flight
    TimePoint asked_at;
    TimePoint due;
    TimePoint cooldown_until;
    std::vector<RankIndex> ranks;
  };
  using Readers = std::map<std::optional<net::Endpoint>, Reader>;

  void AssignRanks(TimePoint now);
  std::vector<RankIndex> NextLeaderBatch(const std::vector<RankIndex>& ranks);
  void FinishRound(const PollingRound& round, TimePoint now);

  std::map<RankIndex, FailureDomain> ranks_;
  // Includes the leader itself, which is used if there is no other reader.
  Readers readers_{{std::nullopt, Reader{}}};
  std::size_t groups_ = 1;
  // Start of the leader's next batch.
  std::size_t next_batch_start_ = 0;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_POLLING_SCHEDULE_H_
