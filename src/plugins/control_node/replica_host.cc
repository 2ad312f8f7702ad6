#include "plugins/control_node/replica_host.h"

#include <algorithm>
#include <boost/leaf/handle_errors.hpp>
#include <random>

#include "libs/base/overloaded.h"
#include "libs/consensus/message_codec.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::control_node {

using net::SteadyNow;

namespace {

// Interval of the checks of membership, disk and failed data folders.
constexpr Duration kMaintenanceInterval = Milliseconds(200);
constexpr Duration kChangeTimeout = Seconds(2);
// A leader whose disk has not responded for this long hands over: it can't
// guarantee what it proposes, and every change would wait for its disk.
constexpr Duration kDiskStallTimeout = Milliseconds(700);
// The log is kept short: each entry holds a whole configuration, which may be
// hundreds of kilobytes.
constexpr control::SnapshotPolicy kSnapshotPolicy{32, 2ULL * 1024 * 1024};
constexpr std::size_t kRetainedEntries = 4;
constexpr Duration kElectionTimeoutMin = Milliseconds(500);
constexpr Duration kElectionTimeoutMax = Milliseconds(900);
constexpr Duration kHeartbeatInterval = Milliseconds(150);
constexpr Duration kHelloInterval = Milliseconds(200);

NodeId NameOf(const settings::SocketAddress& address) {
  return NodeId(address.ToString());
}

std::string_view ReasonName(consensus::RefusalReason reason) {
  switch (reason) {
    case consensus::RefusalReason::kChangeInProgress:
      return "another change is in progress";
    case consensus::RefusalReason::kLeaderNotReady:
      return "the leader has committed nothing yet";
    case consensus::RefusalReason::kUnknownMember:
      return "unknown member";
    case consensus::RefusalReason::kAlreadyMember:
      return "already a member";
    case consensus::RefusalReason::kNotCaughtUp:
      return "the learner has not caught up";
    case consensus::RefusalReason::kWouldLoseQuorum:
      return "too few of the voters respond";
  }
  return "unknown";
}

}  // namespace

ReplicaHost::ReplicaHost(net::NetworkLoop& loop,
                         links::LinkClient& client,
                         const settings::CommonSettings& common,
                         const settings::ControlSettings& settings,
                         Hooks hooks)
    : loop_(loop),
      client_(client),
      common_(common),
      settings_(settings),
      hooks_(std::move(hooks)),
      log_("replica"),
      self_(NameOf(settings.peers_advertise)) {}

void ReplicaHost::Register(links::LinkServer& server) {
  // The driver may be replaced, so it is looked up for each call.
  server.Register("consensus.message",
                  [this](const boost::json::value& params)
                      -> std::optional<boost::json::value> {
                    if (driver_ == nullptr) {
                      return std::nullopt;
                    }
                    return driver_->OnMessage(params);
                  });
}

std::string ReplicaHost::Start() {
  std::string error = Open();
  if (error.empty()) {
    loop_.Spawn([this] { RunMaintenance(); });
  }
  return error;
}

consensus::ReplicaOptions ReplicaHost::MakeOptions() const {
  consensus::ReplicaOptions options;
  options.election_timeout_min = kElectionTimeoutMin;
  options.election_timeout_max = kElectionTimeoutMax;
  options.heartbeat_interval = kHeartbeatInterval;
  options.hello_interval = kHelloInterval;
  options.retained_entries = kRetainedEntries;
  for (const settings::SocketAddress& seed : settings_.seeds) {
    const NodeId peer = NameOf({seed.ip, settings_.peers_advertise.port});
    options.known_peers.push_back(peer);
    if (settings_.is_first_start) {
      options.initial_voters.push_back(peer);
    }
  }
  return options;
}

std::string ReplicaHost::Open() {
  storage::DataFolderOptions options;
  options.path = settings_.data_folder;
  options.deployment = common_.deployment;
  options.node = self_;
  std::random_device random;
  constexpr unsigned kHalfBits = 31U;
  options.new_identity = consensus::ReplicaIdentity(
      (static_cast<std::uint64_t>(random()) << kHalfBits) | random() | 1U);
  std::string error;
  boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<void> {
        BOOST_LEAF_AUTO(folder, storage::DataFolder::Open(files_, options));
        const auto& found = folder->recovered();
        log_.Info("Opened the data folder.",
                  {{"identity", found.self.identity.value()},
                   {"term", found.hard_state.term.value()},
                   {"entries", found.entries.size()}});
        driver_ = std::make_unique<control::ReplicaDriver>(
            loop_, client_, std::move(folder), MakeOptions(),
            std::random_device()(), MakeHooks(), kSnapshotPolicy);
        return {};
      },
      [&](const storage::StorageError& failure) {
        error = "data folder: " + control::Describe(failure);
      },
      [&] { error = "data folder: unknown error"; });
  if (error.empty()) {
    driver_->Start();
  }
  return error;
}

control::ReplicaHooks ReplicaHost::MakeHooks() {
  control::ReplicaHooks hooks;
  hooks.apply = [this](const std::vector<consensus::LogEntry>& entries) {
    for (const consensus::LogEntry& entry : entries) {
      const auto* command = std::get_if<consensus::Command>(&entry.payload);
      if (command != nullptr) {
        hooks_.apply(command->bytes);
      }
    }
  };
  hooks.restore = [this](const consensus::Snapshot& snapshot) {
    hooks_.restore(snapshot.data);
  };
  hooks.make_snapshot = [this] { return hooks_.make_snapshot(); };
  hooks.role_changed = [](const consensus::RoleChanged&) {};
  hooks.find_peer = [](const NodeId& node) {
    return net::ParseEndpoint(node.value());
  };
  return hooks;
}

void ReplicaHost::RunMaintenance() {
  while (!is_stopping_) {
    loop_.SleepFor(kMaintenanceInterval);
    if (is_stopping_) {
      return;
    }
    if (driver_ == nullptr || driver_->has_failed()) {
      // A full disk may have free space again, so the data folder is read
      // again: everything that the replica promised is in it, and nothing was
      // promised since.
      if (driver_ != nullptr) {
        driver_->CloseFolder();
        failed_drivers_.push_back(std::move(driver_));
      }
      const std::string error = Open();
      if (!error.empty()) {
        log_.Warn("Failed to reopen the data folder.", {{"error", error}});
      }
      continue;
    }
    HandOverIfDiskStalls();
    MaintainMembership();
  }
}

void ReplicaHost::HandOverIfDiskStalls() {
  const TimePoint now = SteadyNow();
  if (driver_->is_leader(now) && driver_->disk_lag(now) > kDiskStallTimeout) {
    log_.Warn("Handing over: the disk does not answer.",
              {{"waited_ms", driver_->disk_lag(now).count() / 1000}});
    driver_->TransferLeadership();
  }
}

void ReplicaHost::MaintainMembership() {
  const TimePoint now = SteadyNow();
  if (!driver_->is_leader(now)) {
    member_keeper_.reset();
    asking_.clear();
    return;
  }
  const auto picture = consensus::MembershipStatusOf(driver_->replica(), now);
  if (is_membership_changing_ || !picture.has_value()) {
    return;
  }
  LogAskingNodes(*picture);
  if (!member_keeper_.has_value()) {
    consensus::MemberManagerOptions options;
    options.voters = 2 * settings_.tolerated_losses + 1;
    member_keeper_.emplace(options);
  }
  const auto change = member_keeper_->Next(*picture, now);
  if (!change.has_value()) {
    return;
  }
  std::visit(Overloaded{[this](const consensus::ReplaceVoter& replace) {
                          log_.Info(
                              "Replacing a voter.",
                              {{"old", replace.old.node.value()},
                               {"new", replace.replacement.node.value()}});
                        },
                        [this](const consensus::AddLearner& add) {
                          log_.Info("Adding a learner.",
                                    {{"member", add.learner.node.value()}});
                        },
                        [this](const consensus::PromoteLearner& promote) {
                          log_.Info("Promoting a learner.",
                                    {{"member", promote.learner.node.value()}});
                        },
                        [this](const consensus::RemoveMember& remove) {
                          log_.Info("Removing a member.",
                                    {{"member", remove.member.node.value()}});
                        }},
             *change);
  is_membership_changing_ = true;
  loop_.Spawn([this, change = *change] {
    LogOutcome(driver_->Change(change, kChangeTimeout));
    is_membership_changing_ = false;
  });
}

void ReplicaHost::LogAskingNodes(const consensus::MembershipStatus& status) {
  for (const auto& [node, member] : status.awaiting) {
    const auto known = asking_.find(node);
    if (known == asking_.end() || known->second != member) {
      log_.Info(
          "A node asks for admission.",
          {{"node", node.value()}, {"identity", member.identity.value()}});
    }
  }
  for (const auto& [node, member] : asking_) {
    if (!status.awaiting.contains(node)) {
      log_.Info(
          "A node no longer asks for admission.",
          {{"node", node.value()}, {"identity", member.identity.value()}});
    }
  }
  asking_ = status.awaiting;
}

void ReplicaHost::LogOutcome(
    const std::optional<control::ReplicaDriver::Result>& outcome) {
  if (!outcome.has_value()) {
    log_.Warn("A change of membership is not committed in time.");
    return;
  }
  std::visit(
      Overloaded{[](const consensus::Accepted&) {},
                 [this](const consensus::Refused& refused) {
                   log_.Warn("A change of membership is refused.",
                             {{"why", ReasonName(refused.reason)}});
                 },
                 [this](const auto&) {
                   log_.Warn("A change of membership has an unknown outcome.");
                 }},
      *outcome);
}

void ReplicaHost::Stop() {
  is_stopping_ = true;
  if (driver_ != nullptr) {
    driver_->Stop();
  }
}

bool ReplicaHost::is_leader() const {
  return driver_ != nullptr && driver_->is_leader(SteadyNow());
}

Term ReplicaHost::term() const {
  return driver_ == nullptr ? Term() : driver_->replica().term();
}

bool ReplicaHost::is_member() const {
  return driver_ != nullptr && driver_->replica().log().membership().Contains(
                                   driver_->replica().self());
}

std::optional<std::size_t> ReplicaHost::unresponsive_voters() const {
  const TimePoint now = SteadyNow();
  const auto status = driver_ == nullptr ? std::nullopt
                                         : consensus::MembershipStatusOf(
                                               driver_->replica(), now);
  if (!status.has_value()) {
    return std::nullopt;
  }
  const auto& voters = status->membership.voters;
  return std::count_if(voters.begin(), voters.end(), [&](const auto& voter) {
    const auto response = status->last_responses.find(voter);
    return voter != status->self &&
           (response == status->last_responses.end() ||
            now - response->second > kElectionTimeoutMax);
  });
}

std::optional<net::Endpoint> ReplicaHost::FindLeader() const {
  if (driver_ == nullptr || !driver_->replica().leader().has_value() ||
      driver_->replica().leader()->node == self_) {
    return std::nullopt;
  }
  return net::ParseEndpoint(driver_->replica().leader()->node.value());
}

std::vector<net::Endpoint> ReplicaHost::FindMembers() const {
  std::vector<net::Endpoint> members;
  if (driver_ != nullptr && !driver_->replica().is_blank()) {
    for (const auto& id : driver_->replica().log().membership().AllMembers()) {
      if (const auto endpoint = net::ParseEndpoint(id.node.value())) {
        members.push_back(*endpoint);
      }
    }
  }
  if (members.empty()) {
    for (const settings::SocketAddress& seed : settings_.seeds) {
      members.push_back({seed.ip, settings_.peers_advertise.port});
    }
  }
  return members;
}

// A node with a new data folder knows only the seeds, and one that was away the
// members of that time; none of them may be the leader.
void ReplicaHost::LearnMembers(const std::vector<std::string>& members) {
  if (driver_ == nullptr) {
    return;
  }
  std::vector<NodeId> peers;
  peers.reserve(members.size());
  for (const std::string& member : members) {
    peers.emplace_back(member);
  }
  driver_->LearnPeers(std::move(peers));
}

}  // namespace bilberryspool::control_node
