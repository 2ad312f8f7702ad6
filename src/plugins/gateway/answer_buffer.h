// The bytes of an answer that a gateway keeps until it has all of them.

#ifndef PLUGINS_GATEWAY_ANSWER_BUFFER_H_
#define PLUGINS_GATEWAY_ANSWER_BUFFER_H_

#include <cstddef>
#include <string>
#include <string_view>

#include "libs/base/growing_bytes.h"
#include "plugins/gateway/answer_room.h"

namespace bilberryspool::gateway {

class AnswerBuffer {
 public:
  static constexpr std::size_t kMaxBytes = 4UL * 1024 * 1024;

  // `total` counts the bytes of all answers; it must outlive this object.
  explicit AnswerBuffer(std::size_t& total) : room_(total, kMaxBytes) {}

  // Returns false, and appends nothing, if there is no room.
  bool Append(std::string_view bytes) {
    if (!room_.Resize(bytes_.size() + bytes.size())) {
      return false;
    }
    bytes_.Append(bytes);
    return true;
  }
  std::string ToString() const { return bytes_.ToString(); }
  std::size_t size() const { return bytes_.size(); }

 private:
  AnswerRoom room_;
  GrowingBytes bytes_;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_ANSWER_BUFFER_H_
