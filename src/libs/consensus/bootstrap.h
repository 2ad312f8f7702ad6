#ifndef LIBS_CONSENSUS_BOOTSTRAP_H_
#define LIBS_CONSENSUS_BOOTSTRAP_H_

#include <map>
#include <optional>
#include <vector>

#include "libs/consensus/message.h"
#include "libs/consensus/replica_options.h"

namespace bilberryspool::consensus {

// Decides whether a replica with a new data folder may create a new log.
//
// A replica whose disk was lost looks the same as one of a new deployment. If
// it created a log, a second deployment would run beside the first, and
// accepted configuration would be lost. Therefore only the first initial voter
// creates a log, and only after every other initial voter has replied in the
// same round of Hello messages that its folder is new too and that it has the
// same list of initial voters. A single reply from a replica of an existing
// deployment ends the attempt until the next process start.
class Bootstrap {
 public:
  Bootstrap(const ReplicaOptions& options, MemberId self);

  // Adds further recipients of Hello. Those that are not added again for a
  // while are forgotten, as their nodes may be gone.
  void AddPeers(const std::vector<NodeId>& peers, TimePoint now);
  // Starts a new round of Hello messages if one is due and returns their
  // recipients; empty before the interval has elapsed.
  std::vector<NodeId> NextHelloRecipients(TimePoint now);
  Hello MakeHello() const;
  void NoteReply(const MemberId& from, const HelloReply& reply);
  // The first membership of the new log, or nullopt while this replica may not
  // create a log.
  std::optional<Membership> InitialMembership() const;
  TimePoint deadline() const { return next_hello_at_; }

 private:
  MemberId self_;
  std::vector<NodeId> initial_voters_;
  std::vector<NodeId> peers_;
  // Recipients that were learned, and when last.
  std::map<NodeId, TimePoint> learned_peers_;
  Duration interval_;
  TimePoint next_hello_at_;
  std::uint64_t round_ = 0;
  bool existing_log_found_ = false;
  // Nodes that replied in this round that their folder is new.
  std::map<NodeId, MemberId> blank_peers_;
};

}  // namespace bilberryspool::consensus

#endif  // LIBS_CONSENSUS_BOOTSTRAP_H_
