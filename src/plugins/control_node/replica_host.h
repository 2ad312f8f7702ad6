// The control replica of a control node: its data folder, its place in the
// log's membership, and its return after a failed disk.

#ifndef PLUGINS_CONTROL_NODE_REPLICA_HOST_H_
#define PLUGINS_CONTROL_NODE_REPLICA_HOST_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "libs/consensus/member_keeper.h"
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
    // Committed commands, in order.
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
  // Empty, or why the data folder can't be used at all.
  std::string Start();
  void Stop();

  // Null while the data folder is being opened again.
  control::ReplicaDriver* driver() { return driver_.get(); }
  bool is_leader() const;
  // Whether this node's folder is in the log's membership, as far as it knows.
  bool is_member() const;
  // Where the leader is called; nothing where none is known or this is it.
  std::optional<net::Endpoint> FindLeader() const;
  // The voters and learners, and where nothing is known yet the seeds.
  std::vector<net::Endpoint> FindMembers() const;
  const NodeId& self() const { return self_; }
  // Addresses of the control nodes as another one knows them.
  void LearnMembers(const std::vector<std::string>& members);

 private:
  std::string Open();
  consensus::ReplicaOptions MakeOptions() const;
  control::ReplicaHooks MakeHooks();
  void RunMaintenance();
  void MaintainMembership();
  void HandOverIfDiskStalls();

  net::NetworkLoop& loop_;
  links::LinkClient& client_;
  const settings::CommonSettings& common_;
  const settings::ControlSettings& settings_;
  Hooks hooks_;
  telemetry::Logger log_;
  storage::PosixFileSystem files_;
  // The replica is named by its address, so that no other list of addresses
  // has to be kept.
  NodeId self_;
  std::unique_ptr<control::ReplicaDriver> driver_;
  // Drivers whose disk failed; their fibers may still be running.
  std::vector<std::unique_ptr<control::ReplicaDriver>> failed_drivers_;
  bool is_stopping_ = false;
  bool is_membership_changing_ = false;
  // Of the present leadership.
  std::optional<consensus::MemberKeeper> member_keeper_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_REPLICA_HOST_H_
