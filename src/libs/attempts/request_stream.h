// Relays the answer of one request to the caller.
//
// It prevents text that is duplicated, incomplete or mixed from two answers
// after a broken link: bytes are passed on in order of their offset, each once.

#ifndef LIBS_ATTEMPTS_REQUEST_STREAM_H_
#define LIBS_ATTEMPTS_REQUEST_STREAM_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace bilberryspool::attempts {

class RequestStream {
 public:
  // Keeps a copy of the first `max_kept` bytes.
  explicit RequestStream(std::size_t max_kept) : max_kept_(max_kept) {}

  // Returns the bytes of `data` that the caller has not received and counts
  // them as relayed. Returns none if bytes before `offset` are missing.
  std::optional<std::string> Take(std::uint64_t offset,
                                  const std::string& data);

  // Number of bytes passed on to the caller.
  std::uint64_t relayed() const { return relayed_; }

  // The complete answer so far; none if it was too large to keep.
  std::optional<std::string> kept() const;

 private:
  std::size_t max_kept_;
  std::uint64_t relayed_ = 0;
  std::string kept_;
};

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_REQUEST_STREAM_H_
