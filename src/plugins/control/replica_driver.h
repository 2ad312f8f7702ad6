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
  // Committed entries, in order and each once.
  std::function<void(const std::vector<consensus::LogEntry>&)> apply;
  std::function<void(const consensus::Snapshot&)> restore;
  // The application's state after the last applied entry, as bytes.
  std::function<std::string()> make_snapshot;
  std::function<void(const consensus::RoleChanged&)> role_changed;
  std::function<std::optional<net::Endpoint>(const NodeId&)> find_peer;
};

// When the application's state is written anew, so that the log stays short.
struct SnapshotPolicy {
  std::uint64_t entries = 2000;
  std::uint64_t bytes = 16ULL * 1024 * 1024;
};

// Runs in the control loop; its disk thread is its own.
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
  // After a failure: ends the disk thread and lets go of the folder. This
  // driver does nothing more, but must outlive its fibers.
  void CloseFolder();
  // One message of a peer; nothing where it can't be read.
  std::optional<boost::json::value> OnMessage(const boost::json::value& params);
  // Hands leadership over and waits a moment for it; writes what is open.
  void Stop();

  using Result = decltype(consensus::ProposalOutcome::result);
  // Waits for the outcome; nothing where `patience` ran out, after which it is
  // unknown.
  std::optional<Result> Propose(std::string bytes, Duration timeout);
  std::optional<Result> Change(const consensus::MembershipChange& change,
                               Duration timeout);

  // True once everything that was accepted before the call is applied here;
  // false where this replica does not lead, or `patience` ran out.
  bool WaitUntilCurrent(Duration timeout);
  // Further nodes that hold replicas.
  void LearnPeers(std::vector<NodeId> peers);
  // Asks the leader, where this is it, to hand over.
  void TransferLeadership();

  const consensus::Replica& replica() const { return replica_; }
  bool is_leader(TimePoint now) const;
  // The disk failed: this replica takes no further part until a restart.
  bool has_failed() const { return has_failed_; }
  // How long the oldest write has waited for the disk; zero where none does.
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
  // Jobs that found the ring to the disk thread full, in order.
  std::deque<DiskJob> backlog_;
  consensus::RequestTicket last_ticket_;
  std::map<consensus::RequestTicket, std::shared_ptr<Waiter>> proposal_waiters_;
  std::map<consensus::RequestTicket, std::shared_ptr<ReadWaiter>> read_waiters_;
  SnapshotPolicy snapshot_policy_;
  LogIndex last_snapshot_;
  std::uint64_t bytes_since_snapshot_ = 0;
  // Writes that are not synced yet, with when they were asked for.
  std::map<consensus::PersistTicket, TimePoint> unsynced_;
  DiskWorker disk_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_REPLICA_DRIVER_H_
