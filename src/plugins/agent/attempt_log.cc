#include "plugins/agent/attempt_log.h"

#include <algorithm>

namespace bilberryspool::agent {

void AttemptLog::SetHead(net::HttpResponseHead head) {
  head_ = std::move(head);
  changed_.NotifyAll();
}

void AttemptLog::Append(std::string bytes) {
  bytes_ += bytes;
  if (bytes_.size() > max_bytes_) {
    // The oldest bytes are dropped, as a follower is nearly always close to the
    // end.
    const std::size_t surplus = bytes_.size() - max_bytes_;
    bytes_.erase(0, surplus);
    first_offset_ += surplus;
  }
  changed_.NotifyAll();
}

void AttemptLog::Finish(AttemptPhase phase) {
  phase_ = phase;
  changed_.NotifyAll();
}

bool AttemptLog::CanFollowFrom(std::uint64_t offset) const {
  return offset >= first_offset_ && offset <= size();
}

std::string AttemptLog::Read(std::uint64_t offset, std::size_t limit) const {
  if (!CanFollowFrom(offset)) {
    return "";
  }
  return bytes_.substr(static_cast<std::size_t>(offset - first_offset_), limit);
}

std::optional<std::string> AttemptLog::whole() const {
  if (first_offset_ > 0) {
    return std::nullopt;
  }
  return bytes_;
}

}  // namespace bilberryspool::agent
