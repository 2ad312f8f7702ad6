#include "auto/consensus/fake_cluster.h"

#include <algorithm>
#include <sstream>
#include <utility>

#include "libs/base/overloaded.h"

namespace bilberryspool::consensus {
namespace {

std::uint64_t NextState(std::uint64_t state, const LogEntry& entry) {
  const auto* command = std::get_if<Command>(&entry.payload);
  const std::string bytes = command != nullptr ? command->bytes : "";
  return state * 31 + std::hash<std::string>()(bytes) + entry.index.value();
}

// Snapshot data that is several parts long, so that a transfer can be
// interrupted, with padding specific to the writer, so that a mix of parts from
// different writers is detected.
std::string StateBytes(std::uint64_t state, char filling) {
  return std::to_string(state) + std::string(300, filling);
}

void WriteTo(FakeDisk& disk, const Persist& persist) {
  if (persist.hard_state) {
    disk.hard_state = *persist.hard_state;
  }
  if (persist.truncate_from) {
    std::erase_if(disk.entries, [&](const LogEntry& entry) {
      return entry.index >= *persist.truncate_from;
    });
  }
  disk.entries.insert(disk.entries.end(), persist.entries.begin(),
                      persist.entries.end());
}

void WriteTo(FakeDisk& disk, const PersistSnapshot& persist) {
  disk.snapshot = persist.snapshot;
  if (persist.reset_log) {
    disk.entries.clear();
  }
}

void WriteTo(FakeDisk& disk, const Action& action) {
  if (const auto* persist = std::get_if<Persist>(&action)) {
    WriteTo(disk, *persist);
  } else {
    WriteTo(disk, std::get<PersistSnapshot>(action));
  }
}

bool KeepsMajority(const std::vector<MemberId>& voters,
                   const std::set<MemberId>& lost) {
  const auto count =
      std::count_if(voters.begin(), voters.end(),
                    [&](const MemberId& id) { return lost.count(id) > 0; });
  return voters.empty() || static_cast<std::size_t>(count) * 2 < voters.size();
}

}  // namespace

FakeCluster::FakeCluster(int size, ReplicaOptions options, std::uint64_t seed)
    : options_(std::move(options)), random_(seed) {
  for (int i = 0; i < size; ++i) {
    options_.initial_voters.emplace_back(std::string(1, char('a' + i)));
  }
  for (const NodeId& id : options_.initial_voters) {
    AddNode(id.value());
  }
}

void FakeCluster::AddNode(const std::string& name) {
  FakeNode& node = nodes_[NodeId(name)];
  node.disk.self = {NodeId(name), ReplicaIdentity(next_identity_++)};
  const double bound = options_.clock_drift_bound;
  const double extremes[] = {1.0 - bound, 1.0 + bound,
                             1.0 + (random_.Fraction() * 2 - 1) * bound};
  node.clock_rate = extremes[random_.Below(std::size(extremes))];
  node.clock_offset = random_.Between(Seconds(0), Seconds(1000));
  Start(NodeId(name));
}

FakeNode* FakeCluster::leader() {
  for (auto& [id, node] : nodes_) {
    if (node.replica && node.replica->is_leader_with_lease(LocalTime(node))) {
      return &node;
    }
  }
  return nullptr;
}

TimePoint FakeCluster::LocalTime(const FakeNode& node) const {
  const auto elapsed = static_cast<double>(now_.time_since_epoch().count());
  return TimePoint(node.clock_offset + Duration(static_cast<Duration::rep>(
                                           elapsed * node.clock_rate)));
}

TimePoint FakeCluster::GlobalTime(const FakeNode& node, TimePoint local) const {
  const Duration elapsed = local.time_since_epoch() - node.clock_offset;
  const double count = static_cast<double>(elapsed.count()) / node.clock_rate;
  return TimePoint(Duration(static_cast<Duration::rep>(count) + 1));
}

void FakeCluster::Start(const NodeId& id) {
  FakeNode& node = nodes_.at(id);
  if (node.replica || node.halted) {
    return;
  }
  ++node.start_count;
  node.applied = LogIndex(0);
  node.state = 0;
  node.replica.emplace(RecoveredState{node.disk.self, node.disk.hard_state,
                                      node.disk.snapshot, node.disk.entries},
                       options_, random_.Below(UINT64_MAX));
  Schedule(now_, id, Tick{});
}

void FakeCluster::Crash(const NodeId& id) {
  FakeNode& node = nodes_.at(id);
  const std::uint64_t kept = random_.Below(node.unsynced.size() + 1);
  for (std::uint64_t i = 0; i < kept; ++i) {
    WriteTo(node.disk, node.unsynced[i]);
  }
  if (kept < node.unsynced.size()) {
    // A write may have reached the disk partially.
    if (const auto* persist = std::get_if<Persist>(&node.unsynced[kept])) {
      Persist part = *persist;
      part.entries.resize(random_.Below(part.entries.size() + 1));
      WriteTo(node.disk, part);
    }
  }
  node.unsynced.clear();
  node.replica.reset();
  node.frozen_until = now_;
}

void FakeCluster::CrashWhileSyncing(const NodeId& id, bool all) {
  const FakeNode& node = nodes_.at(id);
  RunUntil([&] { return !node.unsynced.empty(); }, Seconds(1));
  RunUntil([&] { return node.unsynced.empty(); },
           random_.Between(Duration(0), faults_.sync_max));
  for (auto& [other, each] : nodes_) {
    if (each.replica && (all || other == id)) {
      Crash(other);
    }
  }
}

void FakeCluster::LoseDisk(const NodeId& id) {
  Crash(id);
  FakeNode& node = nodes_.at(id);
  lost_.insert(node.disk.self);
  node.disk = FakeDisk{{id, ReplicaIdentity(next_identity_++)}, {}, {}, {}};
  node.halted = false;
  Start(id);
}

bool FakeCluster::CanLoseDisk(const NodeId& id) const {
  std::set<MemberId> lost = lost_;
  lost.insert(nodes_.at(id).disk.self);
  // Active memberships: the last committed one and all later ones in any log.
  LogIndex start;
  for (const auto& [index, entry] : committed_) {
    if (std::holds_alternative<Membership>(entry.payload)) {
      start = index;
    }
  }
  std::vector<Membership> in_force;
  if (start > LogIndex(0)) {
    in_force.push_back(std::get<Membership>(committed_.at(start).payload));
  }
  for (const auto& [other, node] : nodes_) {
    if (!node.replica) {
      return false;
    }
    const LogView& log = node.replica->log();
    for (LogIndex i = std::max(log.first_index(), start.Next());
         i <= log.last_index(); i = i.Next()) {
      in_force.push_back(log.MembershipAt(i));
    }
  }
  return std::all_of(in_force.begin(), in_force.end(),
                     [&](const Membership& membership) {
                       return KeepsMajority(membership.voters, lost) &&
                              KeepsMajority(membership.outgoing, lost);
                     });
}

void FakeCluster::SetClockRate(const NodeId& id, double rate) {
  FakeNode& node = nodes_.at(id);
  const Duration local = LocalTime(node).time_since_epoch();
  node.clock_rate = rate;
  node.clock_offset += local - LocalTime(node).time_since_epoch();
}

void FakeCluster::Freeze(const NodeId& id, Duration duration) {
  nodes_.at(id).frozen_until = now_ + duration;
}

void FakeCluster::Isolate(const NodeId& id) {
  for (const auto& [other, node] : nodes_) {
    Cut(id, other);
    Cut(other, id);
  }
}

void FakeCluster::HealNetwork() {
  cuts_.clear();
  faults_ = NetworkFaults{};
}

void FakeCluster::Run(Duration duration) {
  RunUntil([] { return false; }, duration);
}

bool FakeCluster::RunUntil(const std::function<bool()>& done, Duration limit) {
  const TimePoint end = now_ + limit;
  while (failure_.empty() && !done()) {
    if (queue_.empty() || queue_.top().at > end) {
      now_ = end;
      return done();
    }
    const Wakeup wakeup = queue_.top();
    queue_.pop();
    now_ = std::max(now_, wakeup.at);
    const FakeNode& node = nodes_.at(wakeup.node);
    if (!node.replica || node.start_count != wakeup.start_count) {
      continue;
    }
    if (node.frozen_until > now_) {
      Schedule(node.frozen_until, wakeup.node, wakeup.event);
      continue;
    }
    Deliver(wakeup.node, wakeup.event);
  }
  return failure_.empty();
}

void FakeCluster::Schedule(TimePoint at, const NodeId& id, Event event) {
  queue_.push({at, ++order_, id, nodes_.at(id).start_count, std::move(event)});
}

void FakeCluster::ScheduleTick(const NodeId& id) {
  const FakeNode& node = nodes_.at(id);
  if (const auto deadline = node.replica->next_deadline()) {
    Schedule(std::max(GlobalTime(node, *deadline), now_), id, Tick{});
  }
}

void FakeCluster::Deliver(const NodeId& id, const Event& event) {
  FakeNode& node = nodes_.at(id);
  if (!node.replica) {
    return;
  }
  if (const auto* persisted = std::get_if<Persisted>(&event)) {
    SyncUpTo(node, persisted->ticket);
  }
  const auto deadline = node.replica->next_deadline();
  const bool is_tick = std::holds_alternative<Tick>(event);
  for (const Action& action : node.replica->Handle(event, LocalTime(node))) {
    std::visit([&](const auto& it) { Execute(id, it); }, action);
  }
  if (is_tick || node.replica->next_deadline() != deadline) {
    ScheduleTick(id);
  }
  CheckLeases();
}

void FakeCluster::SyncUpTo(FakeNode& node, PersistTicket ticket) {
  const auto ticket_of = [](const Action& action) {
    const auto* persist = std::get_if<Persist>(&action);
    return persist != nullptr ? persist->ticket
                              : std::get<PersistSnapshot>(action).ticket;
  };
  while (!node.unsynced.empty() && ticket_of(node.unsynced.front()) <= ticket) {
    WriteTo(node.disk, node.unsynced.front());
    node.unsynced.pop_front();
  }
}

void FakeCluster::Execute(const NodeId& id, const Send& send) {
  ++messages_sent_;
  const NodeId& to = send.message.to.node;
  if (nodes_.count(to) == 0 || cuts_.count({id, to}) > 0 ||
      random_.Chance(faults_.loss)) {
    return;
  }
  const int copies = random_.Chance(faults_.duplication) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Duration delay =
        random_.Between(faults_.delay_min, faults_.delay_max);
    Schedule(now_ + delay, to, MessageReceived{send.message});
  }
}

void FakeCluster::Execute(const NodeId& id, const Persist& persist) {
  nodes_.at(id).unsynced.push_back(persist);
  const Duration delay = random_.Between(Microseconds(100), faults_.sync_max);
  Schedule(now_ + delay, id, Persisted{persist.ticket});
}

void FakeCluster::Execute(const NodeId& id, const PersistSnapshot& persist) {
  nodes_.at(id).unsynced.push_back(persist);
  const Duration delay = random_.Between(Microseconds(100), faults_.sync_max);
  Schedule(now_ + delay, id, Persisted{persist.ticket});
}

void FakeCluster::Execute(const NodeId& id, const CompactLog& compact) {
  FakeDisk& disk = nodes_.at(id).disk;
  if (disk.snapshot == nullptr || disk.snapshot->index < compact.through) {
    Fail("the log was compacted before a synced snapshot covers it");
  }
  std::erase_if(disk.entries, [&](const LogEntry& entry) {
    return entry.index <= compact.through;
  });
}

void FakeCluster::Execute(const NodeId& id, const Apply& apply) {
  FakeNode& node = nodes_.at(id);
  for (const LogEntry& entry : apply.entries) {
    if (entry.index != node.applied.Next()) {
      Fail("entries were applied out of order");
      return;
    }
    const auto [known, is_new] = committed_.emplace(entry.index, entry);
    if (!is_new && !(known->second == entry)) {
      Fail("two replicas applied different entries at one index");
    }
    commit_terms_.emplace(entry.index, node.replica->term());
    node.applied = entry.index;
    node.state = NextState(node.state, entry);
    states_[entry.index] = node.state;
  }
}

void FakeCluster::Execute(const NodeId& id, const RestoreSnapshot& restore) {
  FakeNode& node = nodes_.at(id);
  if (restore.snapshot->index < node.applied) {
    Fail("the applied index decreased");
  }
  node.applied = restore.snapshot->index;
  node.state = states_[node.applied];
  if (restore.snapshot->data !=
      StateBytes(node.state, restore.snapshot->data.back())) {
    Fail("the state in a snapshot differs from the state at its index");
  }
}

void FakeCluster::Execute(const NodeId& /*id*/,
                          const ProposalOutcome& outcome) {
  if (!outcomes_.emplace(outcome.ticket, outcome).second) {
    Fail("a proposal was answered twice");
  }
  const auto* accepted = std::get_if<Accepted>(&outcome.result);
  if (accepted == nullptr) {
    return;
  }
  highest_accepted_ = std::max(highest_accepted_, accepted->index);
  const auto proposed = proposed_.find(outcome.ticket);
  if (proposed == proposed_.end()) {
    return;
  }
  const auto entry = committed_.find(accepted->index);
  if (entry == committed_.end() ||
      entry->second.payload != EntryPayload(Command{proposed->second})) {
    Fail("a proposal was accepted but is not committed");
  }
}

void FakeCluster::Execute(const NodeId& /*id*/, const ReadOutcome& outcome) {
  reads_.emplace(outcome.ticket, outcome);
  const auto* read = std::get_if<ReadAt>(&outcome.result);
  if (read != nullptr && read->index < min_read_index_.at(outcome.ticket)) {
    Fail("a read returned a state older than the accepted entries");
  }
}

void FakeCluster::Execute(const NodeId& id, const RoleChanged& changed) {
  if (changed.role != Role::kLeader) {
    return;
  }
  const FakeNode& node = nodes_.at(id);
  const auto leader = std::make_pair(node.disk.self, node.start_count);
  const auto [known, is_new] = leaders_.emplace(changed.term, leader);
  if (!is_new && known->second != leader) {
    Fail("a term has two leaders");
  }
  CheckLeaderLog(*node.replica);
}

void FakeCluster::Execute(const NodeId& id, const Halted& /*halted*/) {
  nodes_.at(id).halted = true;
}

void FakeCluster::CheckLeaderLog(const Replica& replica) {
  for (const auto& [index, entry] : committed_) {
    // A delayed election of an earlier term can still be won, but such a leader
    // can't commit anything.
    if (index < replica.log().first_index() ||
        commit_terms_.at(index) > replica.term()) {
      continue;
    }
    if (replica.log().TermAt(index) != entry.term) {
      Fail("a leader lacks a committed entry");
      return;
    }
  }
}

void FakeCluster::CheckLeases() {
  int holders = 0;
  for (const auto& [id, node] : nodes_) {
    if (node.replica && node.replica->leader_state() &&
        node.replica->leader_state()->HasLease(node.replica->log().membership(),
                                               LocalTime(node))) {
      ++holders;
    }
  }
  if (holders > 1) {
    Fail("two leaders hold a lease at the same time");
  }
}

RequestTicket FakeCluster::ProposeTo(const NodeId& id) {
  const RequestTicket ticket(next_ticket_++);
  proposed_[ticket] = "command " + std::to_string(ticket.value());
  Deliver(id, Propose{ticket, proposed_[ticket]});
  return ticket;
}

RequestTicket FakeCluster::ReadFrom(const NodeId& id) {
  const RequestTicket ticket(next_ticket_++);
  min_read_index_[ticket] = highest_accepted_;
  Deliver(id, ReadBarrier{ticket});
  return ticket;
}

RequestTicket FakeCluster::ChangeAt(const NodeId& id, MembershipChange change) {
  const RequestTicket ticket(next_ticket_++);
  Deliver(id, ChangeMembership{ticket, std::move(change)});
  return ticket;
}

void FakeCluster::TakeSnapshot(const NodeId& id) {
  const FakeNode& node = nodes_.at(id);
  Deliver(id, SnapshotTaken{node.applied,
                            StateBytes(node.state, id.value().front())});
}

void FakeCluster::RepairMembership() {
  FakeNode* const lead = leader();
  if (lead == nullptr) {
    return;
  }
  const NodeId id = lead->disk.self.node;
  const Membership membership = lead->replica->log().membership();
  for (const Learner& learner : membership.learners) {
    if (lost_.count(learner.id) > 0) {
      ChangeAt(id, RemoveMember{learner.id});
      return;
    }
  }
  for (const MemberId& voter : membership.voters) {
    const MemberId& current = nodes_.at(voter.node).disk.self;
    if (lost_.count(voter) > 0 && !membership.Contains(current)) {
      ChangeAt(id, ReplaceVoter{voter, current});
      return;
    }
  }
}

bool FakeCluster::IsAccepted(RequestTicket ticket) const {
  const auto found = outcomes_.find(ticket);
  return found != outcomes_.end() &&
         std::holds_alternative<Accepted>(found->second.result);
}

void FakeCluster::Fail(const std::string& what) {
  if (!failure_.empty()) {
    return;
  }
  std::ostringstream text;
  text << what << " (at " << ToSeconds(now_.time_since_epoch()) << " s)";
  failure_ = text.str();
}

}  // namespace bilberryspool::consensus
