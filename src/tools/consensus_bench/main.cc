// Measures the cost of the replicated log: processor time and bytes on the wire
// per command and per idle second, for three and five replicas in one process;
// and the times of writing, syncing and reading back a data folder on disk.
//
//   consensus_bench FOLDER      (the folder is created and not removed)

#include <chrono>
#include <deque>
#include <iostream>
#include <string>
#include <vector>

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include "libs/consensus/message_codec.h"
#include "libs/consensus/replica.h"
#include "libs/storage/data_folder.h"
#include "libs/storage/posix_file_system.h"

namespace bilberryspool {
namespace {

constexpr int kCommands = 20000;
constexpr int kIdleSeconds = 600;
constexpr std::size_t kCommandBytes = 300;
constexpr std::uint64_t kSyncedWrites = 2000;
constexpr std::uint64_t kUnsyncedWrites = 50000;

using Clock = std::chrono::steady_clock;
using consensus::Message;
using consensus::Replica;

double SecondsSince(Clock::time_point start) {
  return std::chrono::duration<double>(Clock::now() - start).count();
}

// A group of replicas in one process. Messages arrive without delay, and writes
// are reported as synced immediately.
class ReplicaGroup {
 public:
  explicit ReplicaGroup(int size) {
    consensus::ReplicaOptions options;
    for (int i = 0; i < size; ++i) {
      options.initial_voters.emplace_back("entry-" + std::to_string(i));
    }
    for (int i = 0; i < size; ++i) {
      consensus::RecoveredState state;
      state.self = {options.initial_voters[static_cast<std::size_t>(i)],
                    consensus::ReplicaIdentity(7000000000000000000ULL)};
      replicas_.emplace_back(state, options, static_cast<std::uint64_t>(i));
    }
  }

  void RunFor(Duration duration) {
    const TimePoint end = now_ + duration;
    while (now_ < end) {
      for (std::size_t i = 0; i < replicas_.size(); ++i) {
        const auto deadline = replicas_[i].next_deadline();
        if (deadline && now_ >= *deadline) {
          Handle(i, consensus::Tick{});
        }
      }
      DeliverMessages();
      now_ += Milliseconds(10);
    }
  }

  void Propose(const std::string& bytes) {
    for (std::size_t i = 0; i < replicas_.size(); ++i) {
      if (replicas_[i].is_leader_with_lease(now_)) {
        Handle(i, consensus::Propose{consensus::RequestTicket(1), bytes});
      }
    }
    DeliverMessages();
  }

  std::uint64_t messages() const { return messages_; }
  std::uint64_t bytes() const { return bytes_; }

 private:
  void DeliverMessages() {
    while (!undelivered_.empty()) {
      const Message message = std::move(undelivered_.front());
      undelivered_.pop_front();
      for (std::size_t i = 0; i < replicas_.size(); ++i) {
        if (replicas_[i].self().node == message.to.node) {
          Handle(i, consensus::MessageReceived{message});
        }
      }
    }
  }

  void Handle(std::size_t index, const consensus::Event& event) {
    for (consensus::Action& action : replicas_[index].Handle(event, now_)) {
      if (auto* send = std::get_if<consensus::Send>(&action)) {
        ++messages_;
        const std::string text =
            boost::json::serialize(consensus::ToJson(send->message));
        bytes_ += text.size();
        const auto read = consensus::MessageFromJson(boost::json::parse(text));
        undelivered_.push_back(read.value());
      } else if (const auto* persist =
                     std::get_if<consensus::Persist>(&action)) {
        Handle(index, consensus::Persisted{persist->ticket});
      }
    }
  }

  std::vector<Replica> replicas_;
  std::deque<Message> undelivered_;
  TimePoint now_;
  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
};

void MeasureGroup(int size) {
  ReplicaGroup group(size);
  group.RunFor(Seconds(5));
  std::uint64_t messages = group.messages();
  std::uint64_t bytes = group.bytes();
  auto start = Clock::now();
  for (int i = 0; i < kCommands; ++i) {
    group.Propose(std::string(kCommandBytes, 'x'));
  }
  std::cout << size << " replicas, per command of " << kCommandBytes
            << " bytes: " << SecondsSince(start) / kCommands * 1e6
            << " us for all, " << (group.messages() - messages) / kCommands
            << " messages, " << (group.bytes() - bytes) / kCommands
            << " bytes\n";
  messages = group.messages();
  bytes = group.bytes();
  start = Clock::now();
  group.RunFor(Seconds(kIdleSeconds));
  std::cout << size << " replicas, per idle second: "
            << SecondsSince(start) / kIdleSeconds * 1e6 << " us for all, "
            << (group.messages() - messages) / kIdleSeconds << " messages, "
            << (group.bytes() - bytes) / kIdleSeconds << " bytes\n";
}

storage::Result<void> MeasureFolder(const std::string& path) {
  storage::PosixFileSystem files;
  storage::DataFolderOptions options;
  options.path = path;
  options.node = NodeId("bench");
  options.new_identity = consensus::ReplicaIdentity(1);
  BOOST_LEAF_AUTO(folder, storage::DataFolder::Open(files, options));
  consensus::Persist persist;
  persist.hard_state.emplace();
  persist.hard_state->cluster = consensus::ClusterId(1);
  persist.hard_state->term = Term(1);
  std::uint64_t index = 0;
  const auto write = [&]() -> storage::Result<void> {
    persist.entries = {{LogIndex(++index), Term(1),
                        consensus::Command{std::string(kCommandBytes, 'x')}}};
    return folder->Write(persist);
  };
  auto start = Clock::now();
  for (std::uint64_t i = 0; i < kSyncedWrites; ++i) {
    BOOST_LEAF_CHECK(write());
    BOOST_LEAF_CHECK(folder->Sync());
  }
  std::cout << "write and sync of one entry: "
            << SecondsSince(start) / kSyncedWrites * 1e6 << " us\n";
  start = Clock::now();
  for (std::uint64_t i = 0; i < kUnsyncedWrites; ++i) {
    BOOST_LEAF_CHECK(write());
  }
  BOOST_LEAF_CHECK(folder->Sync());
  std::cout << "write of one entry, one sync for all: "
            << SecondsSince(start) / kUnsyncedWrites * 1e6 << " us\n";
  folder.reset();
  start = Clock::now();
  BOOST_LEAF_ASSIGN(folder, storage::DataFolder::Open(files, options));
  std::cout << "reading back " << folder->recovered().entries.size()
            << " entries: " << SecondsSince(start) * 1e3 << " ms\n";
  return {};
}

}  // namespace
}  // namespace bilberryspool

int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: consensus_bench FOLDER\n";
    return 2;
  }
  bilberryspool::MeasureGroup(3);
  bilberryspool::MeasureGroup(5);
  return boost::leaf::try_handle_all(
      [&]() -> boost::leaf::result<int> {
        BOOST_LEAF_CHECK(bilberryspool::MeasureFolder(argv[1]));
        return 0;
      },
      [](const bilberryspool::storage::StorageError& error) {
        std::cerr << error.path << ": " << error.detail << "\n";
        return 1;
      },
      [] { return 1; });
}
