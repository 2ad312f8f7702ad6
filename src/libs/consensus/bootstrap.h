#ifndef LIBS_CONSENSUS_BOOTSTRAP_H_
#define LIBS_CONSENSUS_BOOTSTRAP_H_

#include <map>
#include <optional>
#include <vector>

#include "libs/consensus/message.h"
#include "libs/consensus/replica_options.h"

namespace bilberryspool::consensus {

// Decides whether a replica with a new folder may found a new log.
//
// A replica whose disk was lost looks the same as one of a new deployment. If
// it founded a log it would run a second deployment beside the first, and
// accepted configuration would be lost. So only the first of the initial
// voters founds one, only when in one round of questions each other initial
// voter has answered that its folder is new too and that it was given the same
// list, and no node at all has answered otherwise. One answer from an existing
// deployment ends the attempt until the next start.
class Bootstrap {
 public:
  Bootstrap(const ReplicaOptions& options, MemberId self);

  void AddPeers(const std::vector<NodeId>& peers);
  // The nodes to greet now; empty where it is not time yet.
  std::vector<NodeId> NodesToGreet(TimePoint now);
  Hello MakeHello() const;
  void NoteReply(const MemberId& from, const HelloReply& reply);
  // The voters of the new log, when it may be founded.
  std::optional<Membership> InitialMembership() const;
  TimePoint deadline() const { return next_hello_at_; }

 private:
  MemberId self_;
  std::vector<NodeId> initial_voters_;
  std::vector<NodeId> peers_;
  Duration interval_;
  TimePoint next_hello_at_;
  std::uint64_t round_ = 0;
  bool existing_log_found_ = false;
  // Those that answered "new" in this round.
  std::map<NodeId, MemberId> blank_peers_;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_BOOTSTRAP_H_
