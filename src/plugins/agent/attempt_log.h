// Buffers the answer of one attempt while its engine produces it.

#ifndef PLUGINS_AGENT_ATTEMPT_LOG_H_
#define PLUGINS_AGENT_ATTEMPT_LOG_H_

#include <cstdint>
#include <optional>
#include <string>

#include "libs/net/fiber_signal.h"
#include "libs/net/http_message.h"

namespace bilberryspool::agent {

// kWithdrawn: the attempt never reached the engine.
enum class AttemptPhase { kRunning, kFinished, kFailed, kWithdrawn };

// Filled by the fiber that reads from the engine and followed by the fibers
// that write to entries. The answer is kept complete up to a bound, so that an
// entry whose connection became silent can continue from its last offset.
class AttemptLog {
 public:
  explicit AttemptLog(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  void SetHead(net::HttpResponseHead head);
  // Drops the oldest bytes when the answer exceeds the bound.
  void Append(std::string bytes);
  void Finish(AttemptPhase phase);

  AttemptPhase phase() const { return phase_; }
  const std::optional<net::HttpResponseHead>& head() const { return head_; }
  std::uint64_t size() const { return first_offset_ + bytes_.size(); }
  // Whether the bytes from `offset` on are still kept.
  bool CanFollowFrom(std::uint64_t offset) const;
  // Returns at most `limit` of the bytes from `offset` on.
  std::string Read(std::uint64_t offset, std::size_t limit) const;
  // The complete answer, or nothing if some bytes were dropped.
  std::optional<std::string> whole() const;

  // Waits for a change. Returns false if there is none before `deadline`.
  bool WaitForChange(TimePoint deadline) {
    return changed_.WaitUntil(deadline);
  }

  void AddFollower() { ++followers_; }
  void RemoveFollower() { --followers_; }
  int followers() const { return followers_; }

 private:
  std::size_t max_bytes_;
  AttemptPhase phase_ = AttemptPhase::kRunning;
  std::optional<net::HttpResponseHead> head_;
  // Bytes before this offset were dropped.
  std::uint64_t first_offset_ = 0;
  std::string bytes_;
  int followers_ = 0;
  net::FiberSignal changed_;
};

}  // namespace bilberryspool::agent

#endif  // PLUGINS_AGENT_ATTEMPT_LOG_H_
