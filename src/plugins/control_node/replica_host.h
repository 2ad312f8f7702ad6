// Hosts the control replica of a control node: its data folder, its membership
// in the log, and its recovery after a disk failure.

#ifndef PLUGINS_CONTROL_NODE_REPLICA_HOST_H_
#define PLUGINS_CONTROL_NODE_REPLICA_HOST_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/consensus/member_manager.h"
#include "libs/links/link_client.h"
#include "libs/links/link_server.h"
#include "libs/settings/settings.h"
#include "libs/storage/posix_file_system.h"
#include "libs/telemetry/log.h"
#include "plugins/control/replica_driver.h"

namespace bilberryspool::control_node {

// Runs in the control loop.
class ReplicaHost {
 public:
  struct Hooks {
    // Called with committed commands, in order.
    std::function<void(const std::string& command)> apply;
    std::function<void(const std::string& state)> restore;
    std::function<std::string()> make_snapshot;
  };

  ReplicaHost(net::NetworkLoop& loop,
              links::LinkClient& client,
              const settings::CommonSettings& common,
              const settings::ControlSettings& settings,
              Hooks hooks);

  void Register(links::LinkServer& server);
  // Returns an empty string, or the reason why the data folder can't be used.
  std::string Start();
  void Stop();

  // Null while the data folder is being reopened.
  control::ReplicaDriver* driver() { return driver_.get(); }
  bool is_leader() const;
  // The term that this node knows of; Term() without a data folder.
  Term term() const;
  // Whether this node's data folder is in the log's membership, as far as it
  // knows.
  bool is_member() const;
  // Voters that do not respond to this node; nothing unless it leads.
  std::optional<std::size_t> unresponsive_voters() const;
  // Nodes that ask for admission, as far as this node knows.
  std::size_t asking_nodes() const { return asking_.size(); }
  // The address of the leader; nothing if it is unknown or this node leads.
  std::optional<net::Endpoint> FindLeader() const;
  // The voters and learners, or the seeds if no members are known yet.
  std::vector<net::Endpoint> FindMembers() const;
  const NodeId& self() const { return self_; }
  // Adds the addresses of control nodes that another one reported.
  void LearnMembers(const std::vector<std::string>& members);

 private:
  std::string Open();
  consensus::ReplicaOptions MakeOptions() const;
  control::ReplicaHooks MakeHooks();
  void RunMaintenance();
  void MaintainMembership();
  void LogAskingNodes(const consensus::MembershipStatus& status);
  void LogOutcome(const std::optional<control::ReplicaDriver::Result>& outcome);
  void HandOverIfDiskStalls();

  net::NetworkLoop& loop_;
  links::LinkClient& client_;
  const settings::CommonSettings& common_;
  const settings::ControlSettings& settings_;
  Hooks hooks_;
  telemetry::Logger log_;
  storage::PosixFileSystem files_;
  // The replica is identified by its address, so that no separate list of
  // addresses is needed.
  NodeId self_;
  std::unique_ptr<control::ReplicaDriver> driver_;
  // Drivers whose disk failed; their fibers may still be running.
  std::vector<std::unique_ptr<control::ReplicaDriver>> failed_drivers_;
  bool is_stopping_ = false;
  bool is_membership_changing_ = false;
  // Exists while this node leads.
  std::optional<consensus::MemberManager> member_keeper_;
  // Folders that asked for admission at the last check.
  std::map<NodeId, consensus::MemberId> asking_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_REPLICA_HOST_H_
