// Which control node reads which ranks of a group for its leader, and when.
//
// Every rank is read ten times a second: on 0.15 of a core a leader that read
// 192 of them itself would do nothing else, and one that reads a few does not
// know what the others are asked for. So the ranks are shared out among the
// other control nodes that answer, those of a node's own failure domain first.
// A node that takes long is asked less often: it is short of processor time,
// and more questions would make it later still.
// A node that does not answer is left out for a while, and its ranks go to the
// others with the next round; a rank has one reader at a time, so that nothing
// is counted twice. Where there is no other node the leader reads all
// by turns, a few at a time.
//
// Pure: events and `now` in, rounds out.

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

// Ranks to be read now, by one reader.
struct PollingRound {
  std::optional<net::Endpoint> reader;  // nothing: the leader itself
  std::vector<RankIndex> ranks;
};

class PollingSchedule {
 public:
  void SetRank(RankIndex rank, const FailureDomain& domain);
  // The other control nodes that have answered lately.
  void SetReaders(const std::vector<net::Endpoint>& readers);
  // A new round of each reader that is due; it is under way from then on.
  std::vector<PollingRound> StartDueRounds(TimePoint now);
  // Those ranks by their readers, under the same shares.
  std::vector<PollingRound> SplitByReader(const std::vector<RankIndex>& ranks,
                                          TimePoint now);
  void OnAnswer(const PollingRound& round,
                const FailureDomain& domain,
                TimePoint now);
  // `was_leader_late`: the leader was late itself meanwhile. What it has not
  // read may have come, so the reader is only left out if that happens again
  // and again.
  void OnFailure(const PollingRound& round,
                 bool was_leader_late,
                 TimePoint now);
  // A reader left a call of another kind unanswered.
  void StartCooldown(const net::Endpoint& reader, TimePoint now);
  // What was due in a while is due now.
  void Expedite(TimePoint now);

 private:
  struct Reader {
    std::optional<FailureDomain> domain;  // told with its first answer
    bool is_in_flight = false;
    // Rounds without an answer, one after the other.
    std::uint32_t failures = 0;
    bool is_expedited = false;  // while it was asked
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
  // With the leader itself, which is used where no other is.
  Readers readers_{{std::nullopt, Reader{}}};
  // Where the leader's next portion begins.
  std::size_t next_batch_start_ = 0;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_POLLING_SCHEDULE_H_
