// Drives the control replica of an entry with a data folder.

#ifndef PLUGINS_CONTROL_REPLICA_DRIVER_H_
#define PLUGINS_CONTROL_REPLICA_DRIVER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "libs/consensus/replica.h"
#include "libs/links/link_client.h"
#include "libs/links/link_server.h"
#include "libs/net/fiber_signal.h"
#include "libs/telemetry/log.h"
#include "plugins/control/disk_worker.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::control {

struct ReplicaHooks {
  // Called with the committed entries, in order and once each.
  std::function<void(const std::vector<consensus::LogEntry>&)> apply;
  std::function<void(const consensus::Snapshot&)> restore;
  // Returns the application's serialized state after the last applied entry.
  std::function<std::string()> make_snapshot;
  std::function<void(const consensus::RoleChanged&)> role_changed;
  std::function<std::optional<net::Endpoint>(const NodeId&)> find_peer;
};

// A new snapshot is taken after this number of entries or bytes, so that the
// log stays short.
struct SnapshotPolicy {
  std::uint64_t entries = 2000;
  std::uint64_t bytes = 16ULL * 1024 * 1024;
};

// Runs in the control loop and owns a disk thread.
class ReplicaDriver {
 public:
  ReplicaDriver(net::NetworkLoop& loop,
                links::LinkClient& client,
                std::unique_ptr<storage::DataFolder> folder,
                consensus::ReplicaOptions options,
                std::uint64_t seed,
                ReplicaHooks hooks,
                SnapshotPolicy snapshot_policy = {});

  void Register(links::LinkServer& server);
  void Start();
  // After a failure: ends the disk thread and closes the folder. The driver
  // does nothing after this, but must outlive its fibers.
  void CloseFolder();
  // Handles a message of a peer; returns nothing if it can't be decoded.
  std::optional<boost::json::value> OnMessage(const boost::json::value& params);
  // Transfers leadership, if this replica leads, and waits for it up to a
  // timeout; then finishes the pending writes and ends the disk thread.
  void Stop();

  using Result = decltype(consensus::ProposalOutcome::result);
  // Waits for the outcome. Returns nothing if `timeout` expired; the outcome is
  // unknown then.
  std::optional<Result> Propose(std::string bytes, Duration timeout);
  std::optional<Result> Change(const consensus::MembershipChange& change,
                               Duration timeout);

  // Returns true once everything that was accepted before the call is applied
  // here; false if this replica does not lead, or `timeout` expired.
  bool WaitUntilCurrent(Duration timeout);
  // Adds nodes that hold replicas.
  void LearnPeers(std::vector<NodeId> peers);
  // Transfers leadership to another replica, if this one leads.
  void TransferLeadership();

  const consensus::Replica& replica() const { return replica_; }
  bool is_leader(TimePoint now) const;
  // Whether the disk has failed: this replica does nothing until a restart.
  bool has_failed() const { return has_failed_; }
  // How long the oldest unsynced write has waited for the disk; zero if there
  // is none.
  Duration disk_lag(TimePoint now) const;

 private:
  struct Waiter {
    net::FiberSignal signal;
    std::optional<Result> result;
  };
  struct ReadWaiter {
    net::FiberSignal signal;
    std::optional<bool> is_current;
  };
  using Json = boost::json::value;

  void Run();
  void Handle(const consensus::Event& event);
  void Execute(const consensus::Action& action);
  void Send(const consensus::Send& send);
  void Write(DiskJob job);
  void FlushBacklog();
  void Apply(const consensus::Apply& apply);
  std::optional<Result> AwaitOutcome(consensus::RequestTicket ticket,
                                     const consensus::Event& event,
                                     Duration timeout);

  net::NetworkLoop& loop_;
  links::LinkClient& client_;
  ReplicaHooks hooks_;
  telemetry::Logger log_;
  consensus::Replica replica_;
  bool has_failed_ = false;
  // Jobs that did not fit into the ring to the disk thread, in order.
  std::deque<DiskJob> backlog_;
  consensus::RequestTicket last_ticket_;
  std::map<consensus::RequestTicket, std::shared_ptr<Waiter>> proposal_waiters_;
  std::map<consensus::RequestTicket, std::shared_ptr<ReadWaiter>> read_waiters_;
  SnapshotPolicy snapshot_policy_;
  LogIndex last_snapshot_;
  std::uint64_t bytes_since_snapshot_ = 0;
  // Writes that are not synced yet, with the time of the request.
  std::map<consensus::PersistTicket, TimePoint> unsynced_;
  DiskWorker disk_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_REPLICA_DRIVER_H_
