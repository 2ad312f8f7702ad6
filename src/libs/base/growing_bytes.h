// Bytes that arrive in pieces and are kept until they are complete.

#ifndef LIBS_BASE_GROWING_BYTES_H_
#define LIBS_BASE_GROWING_BYTES_H_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace bilberryspool {

// Kept in small blocks of one size. Strings that grow at the same time leave
// holes of all sizes in the heap, about as large together as the strings.
class GrowingBytes {
 public:
  void Append(std::string_view piece) {
    bytes_.insert(bytes_.end(), piece.begin(), piece.end());
  }
  void Clear() { bytes_.clear(); }

  std::size_t size() const { return bytes_.size(); }
  std::string ToString() const { return {bytes_.begin(), bytes_.end()}; }
  // The last `count` bytes, or all if there are fewer.
  std::string Tail(std::size_t count) const {
    const auto length =
        static_cast<std::ptrdiff_t>(std::min(count, bytes_.size()));
    return {bytes_.end() - length, bytes_.end()};
  }

 private:
  std::deque<char> bytes_;
};

}  // namespace bilberryspool

#endif  // LIBS_BASE_GROWING_BYTES_H_
