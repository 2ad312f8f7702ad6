#include "plugins/control/replica_driver.h"

#include <algorithm>

#include "libs/base/overloaded.h"
#include "libs/consensus/message_codec.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::control {

using net::SteadyNow;

namespace {

constexpr Duration kSendTimeout = Milliseconds(500);
constexpr Duration kMaxTickInterval = Milliseconds(100);
constexpr Duration kTransferTimeout = Seconds(2);

std::string_view RoleName(consensus::Role role) {
  switch (role) {
    case consensus::Role::kFollower:
      return "follower";
    case consensus::Role::kPreCandidate:
    case consensus::Role::kCandidate:
      return "candidate";
    case consensus::Role::kLeader:
      return "leader";
    case consensus::Role::kHalted:
      return "halted";
  }
  return "unknown";
}

}  // namespace

ReplicaDriver::ReplicaDriver(net::NetworkLoop& loop,
                             links::LinkClient& client,
                             std::unique_ptr<storage::DataFolder> folder,
                             consensus::ReplicaOptions options,
                             std::uint64_t seed,
                             ReplicaHooks hooks,
                             SnapshotPolicy snapshot_policy)
    : loop_(loop),
      client_(client),
      hooks_(std::move(hooks)),
      log_("replica"),
      replica_(folder->recovered(), std::move(options), seed),
      snapshot_policy_(snapshot_policy),
      disk_(
          std::move(folder),
          [this](consensus::PersistTicket ticket) {
            loop_.Post([this, ticket] {
              unsynced_.erase(unsynced_.begin(), unsynced_.upper_bound(ticket));
              Handle(consensus::Persisted{ticket});
              FlushBacklog();
            });
          },
          [this](const std::string& what) {
            loop_.Post([this, what] {
              has_failed_ = true;
              log_.Error(
                  "The data folder failed; this replica stops until a restart.",
                  {{"error", what}});
            });
          }) {}

void ReplicaDriver::Register(links::LinkServer& server) {
  server.Register("consensus.message",
                  [this](const Json& params) { return OnMessage(params); });
}

void ReplicaDriver::Start() {
  loop_.Spawn([this] { Run(); });
}

void ReplicaDriver::Run() {
  while (!has_failed_) {
    Handle(consensus::Tick{});
    FlushBacklog();
    const TimePoint now = SteadyNow();
    const TimePoint due =
        replica_.next_deadline().value_or(now + kMaxTickInterval);
    loop_.SleepFor(std::clamp(due - now, Milliseconds(1), kMaxTickInterval));
  }
}

void ReplicaDriver::Stop() {
  if (is_leader(SteadyNow())) {
    Handle(consensus::TransferLeadership{});
    const TimePoint limit = SteadyNow() + kTransferTimeout;
    while (is_leader(SteadyNow()) && SteadyNow() < limit) {
      loop_.SleepFor(kMaxTickInterval);
    }
  }
  has_failed_ = true;
  disk_.Stop();
}

void ReplicaDriver::CloseFolder() {
  has_failed_ = true;
  disk_.Close();
}

void ReplicaDriver::Handle(const consensus::Event& event) {
  if (has_failed_) {
    return;
  }
  for (const consensus::Action& action : replica_.Handle(event, SteadyNow())) {
    Execute(action);
  }
}

void ReplicaDriver::Execute(const consensus::Action& action) {
  std::visit(
      Overloaded{
          [this](const consensus::Send& send) { Send(send); },
          [this](const consensus::Persist& persist) {
            unsynced_.emplace(persist.ticket, SteadyNow());
            Write(persist);
          },
          [this](const consensus::PersistSnapshot& persist) {
            unsynced_.emplace(persist.ticket, SteadyNow());
            Write(persist);
          },
          [this](const consensus::CompactLog& compact) { Write(compact); },
          [this](const consensus::Apply& apply) { Apply(apply); },
          [this](const consensus::RestoreSnapshot& restore) {
            last_snapshot_ = restore.snapshot->index;
            hooks_.restore(*restore.snapshot);
          },
          [this](const consensus::ProposalOutcome& outcome) {
            const auto found = proposal_waiters_.find(outcome.ticket);
            if (found != proposal_waiters_.end()) {
              found->second->result = outcome.result;
              found->second->signal.NotifyAll();
            }
          },
          [this](const consensus::ReadOutcome& outcome) {
            const auto found = read_waiters_.find(outcome.ticket);
            if (found != read_waiters_.end()) {
              found->second->is_current =
                  std::holds_alternative<consensus::ReadAt>(outcome.result);
              found->second->signal.NotifyAll();
            }
          },
          [this](const consensus::RoleChanged& change) {
            log_.Info(
                "Role changed.",
                {{"role", RoleName(change.role)},
                 {"term", change.term.value()},
                 {"leader", change.leader.value_or(NodeId("none")).value()}});
            hooks_.role_changed(change);
          },
          [this](const consensus::Halted& halted) {
            log_.Error(
                "Halted; put the data folder aside and replace this member.",
                {{"reason", halted.reason == consensus::HaltReason::kSuperseded
                                ? "superseded"
                                : "regressed"}});
          }},
      action);
}

void ReplicaDriver::Send(const consensus::Send& send) {
  const auto endpoint = hooks_.find_peer(send.message.to.node);
  if (!endpoint.has_value()) {
    return;
  }
  loop_.Spawn([this, endpoint, params = consensus::ToJson(send.message)] {
    const auto result =
        client_.Call(*endpoint, "consensus.message", params, kSendTimeout);
    if (std::holds_alternative<links::LinkError>(result)) {
      client_.DropIdle(*endpoint);
    }
  });
}

void ReplicaDriver::Write(DiskJob job) {
  backlog_.push_back(std::move(job));
  FlushBacklog();
}

// Jobs must be written in order to be safe. So a job that finds the ring full
// waits in the backlog, with all later jobs behind it.
void ReplicaDriver::FlushBacklog() {
  while (!backlog_.empty() && disk_.TryPush(std::move(backlog_.front()))) {
    backlog_.pop_front();
  }
}

void ReplicaDriver::Apply(const consensus::Apply& apply) {
  hooks_.apply(apply.entries);
  const LogIndex applied = apply.entries.back().index;
  for (const consensus::LogEntry& entry : apply.entries) {
    bytes_since_snapshot_ += consensus::SizeOf(entry);
  }
  const bool is_due =
      applied.value() >= last_snapshot_.value() + snapshot_policy_.entries ||
      bytes_since_snapshot_ >= snapshot_policy_.bytes;
  if (!is_due) {
    return;
  }
  last_snapshot_ = applied;
  bytes_since_snapshot_ = 0;
  // Posted, as the remaining actions of the current event come first.
  loop_.Post([this, applied, data = hooks_.make_snapshot()] {
    Handle(consensus::SnapshotTaken{applied, data});
  });
}

std::optional<ReplicaDriver::Result> ReplicaDriver::Propose(std::string bytes,
                                                            Duration timeout) {
  const consensus::RequestTicket ticket(last_ticket_.value() + 1);
  last_ticket_ = ticket;
  return AwaitOutcome(ticket, consensus::Propose{ticket, std::move(bytes)},
                      timeout);
}

std::optional<ReplicaDriver::Result> ReplicaDriver::Change(
    const consensus::MembershipChange& change,
    Duration timeout) {
  const consensus::RequestTicket ticket(last_ticket_.value() + 1);
  last_ticket_ = ticket;
  return AwaitOutcome(ticket, consensus::ChangeMembership{ticket, change},
                      timeout);
}

std::optional<ReplicaDriver::Result> ReplicaDriver::AwaitOutcome(
    consensus::RequestTicket ticket,
    const consensus::Event& event,
    Duration timeout) {
  auto waiter = std::make_shared<Waiter>();
  proposal_waiters_[ticket] = waiter;
  const TimePoint deadline = SteadyNow() + timeout;
  Handle(event);
  while (!waiter->result.has_value() && SteadyNow() < deadline) {
    waiter->signal.WaitUntil(deadline);
  }
  proposal_waiters_.erase(ticket);
  return waiter->result;
}

bool ReplicaDriver::WaitUntilCurrent(Duration timeout) {
  const consensus::RequestTicket ticket(last_ticket_.value() + 1);
  last_ticket_ = ticket;
  auto waiter = std::make_shared<ReadWaiter>();
  read_waiters_[ticket] = waiter;
  const TimePoint deadline = SteadyNow() + timeout;
  Handle(consensus::ReadBarrier{ticket});
  while (!waiter->is_current.has_value() && SteadyNow() < deadline) {
    waiter->signal.WaitUntil(deadline);
  }
  read_waiters_.erase(ticket);
  return waiter->is_current.value_or(false);
}

void ReplicaDriver::LearnPeers(std::vector<NodeId> peers) {
  Handle(consensus::PeersLearned{std::move(peers)});
}

void ReplicaDriver::TransferLeadership() {
  Handle(consensus::TransferLeadership{});
}

Duration ReplicaDriver::disk_lag(TimePoint now) const {
  return unsynced_.empty() ? Duration::zero() : now - unsynced_.begin()->second;
}

bool ReplicaDriver::is_leader(TimePoint now) const {
  return !has_failed_ && replica_.is_leader_with_lease(now);
}

std::optional<boost::json::value> ReplicaDriver::OnMessage(const Json& params) {
  auto message = consensus::MessageFromJson(params);
  if (!message.has_value()) {
    return std::nullopt;
  }
  Handle(consensus::MessageReceived{std::move(*message)});
  return Json(true);
}

}  // namespace bilberryspool::control
