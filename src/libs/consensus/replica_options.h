#ifndef LIBS_CONSENSUS_REPLICA_OPTIONS_H_
#define LIBS_CONSENSUS_REPLICA_OPTIONS_H_

#include <cstddef>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::consensus {

struct ReplicaOptions {
  // A replica that received a message from a leader within this time grants no
  // vote; neither does a replica within this time after its own start.
  Duration election_timeout_min = Milliseconds(1000);
  // Election timeouts are random between the minimum and the maximum.
  Duration election_timeout_max = Milliseconds(2000);
  Duration heartbeat_interval = Milliseconds(200);
  // Maximum deviation of a replica's clock rate from true time, as a fraction.
  // The clock must keep running while the VM is suspended.
  double clock_drift_bound = 0.01;

  // Approximate maximum size of the entries in one Append, which always carries
  // at least one.
  std::size_t max_batch_bytes = 256UL * 1024;
  // Maximum number of unacknowledged Appends to one follower.
  std::size_t max_inflight_appends = 16;
  // Maximum number of uncommitted proposals; further ones are refused as busy.
  std::size_t max_pending_proposals = 1024;
  std::size_t snapshot_chunk_bytes = 256UL * 1024;
  // Number of entries before a snapshot that are kept for followers that lag
  // slightly.
  std::size_t retained_entries = 1000;
  // A learner within this many entries of the leader has caught up.
  std::size_t catch_up_slack = 8;
  // A leadership transfer that takes longer is aborted.
  Duration transfer_timeout = Seconds(2);

  // The voters of a new deployment, the same list on each of them. If empty,
  // this replica never takes part in a bootstrap.
  std::vector<NodeId> initial_voters;
  // Other nodes that may run a replica; a replica with a new folder sends Hello
  // to these and to the initial voters.
  std::vector<NodeId> known_peers;
  Duration hello_interval = Milliseconds(500);
  // How long a replica counts as asking for admission after its last Hello. One
  // that was admitted, or terminated, sends none any more.
  Duration hello_lifetime() const { return 5 * hello_interval; }

  // Duration of a leader lease, counted from the send time of the message that
  // a quorum acknowledged. With clocks within the drift bound, the lease ends
  // before any member of the quorum grants another vote.
  Duration lease_duration() const {
    const double ratio = (1.0 - clock_drift_bound) / (1.0 + clock_drift_bound);
    const double count =
        static_cast<double>(election_timeout_min.count()) * ratio;
    return Duration(static_cast<Duration::rep>(count));
  }
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_REPLICA_OPTIONS_H_
