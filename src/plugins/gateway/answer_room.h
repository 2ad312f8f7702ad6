// The memory that a gateway has for the unfinished parts of answers.
//
// A target may send bytes without an end, and many requests may be at such
// targets at a time. The bytes of all answers together are therefore bounded,
// too.

#ifndef PLUGINS_GATEWAY_ANSWER_ROOM_H_
#define PLUGINS_GATEWAY_ANSWER_ROOM_H_

#include <cstddef>

namespace bilberryspool::gateway {

// What one answer takes of it.
class AnswerRoom {
 public:
  // While all answers that share `total` hold more than this, one of them may
  // only grow up to a size that most sound answers stay below: large ones fail
  // first where others do not end.
  static constexpr std::size_t kMaxLargeTotal = 16UL * 1024 * 1024;
  static constexpr std::size_t kLargeBytes = 64UL * 1024;
  // The same for the smallest answers, which always have room.
  static constexpr std::size_t kMaxTotal = 20UL * 1024 * 1024;
  static constexpr std::size_t kSmallBytes = 4UL * 1024;

  // `total` counts the bytes of all answers; it must outlive this object.
  // `max_bytes` bounds this answer.
  AnswerRoom(std::size_t& total, std::size_t max_bytes)
      : total_(total), max_bytes_(max_bytes) {}
  ~AnswerRoom() { total_ -= size_; }
  AnswerRoom(const AnswerRoom&) = delete;
  AnswerRoom& operator=(const AnswerRoom&) = delete;

  // Returns false, and changes nothing, if there is no room for `size` bytes.
  bool Resize(std::size_t size) {
    const std::size_t total = total_ - size_ + size;
    const bool has_room = (size <= kLargeBytes || total <= kMaxLargeTotal) &&
                          (size <= kSmallBytes || total <= kMaxTotal);
    if (size > max_bytes_ || !has_room) {
      return false;
    }
    total_ = total;
    size_ = size;
    return true;
  }

 private:
  std::size_t& total_;
  std::size_t max_bytes_;
  std::size_t size_ = 0;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_ANSWER_ROOM_H_
