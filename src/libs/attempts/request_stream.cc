#include "libs/attempts/request_stream.h"

namespace bilberryspool::attempts {

std::optional<std::string> RequestStream::Take(std::uint64_t offset,
                                               const std::string& data) {
  if (offset > relayed_) {
    return std::nullopt;
  }
  const std::uint64_t known = relayed_ - offset;
  if (known >= data.size()) {
    return std::string();
  }
  std::string unrelayed = data.substr(known);
  relayed_ += unrelayed.size();
  if (relayed_ <= max_kept_) {
    kept_ += unrelayed;
  }
  return unrelayed;
}

std::optional<std::string> RequestStream::kept() const {
  if (kept_.size() != relayed_) {
    return std::nullopt;
  }
  return kept_;
}

}  // namespace bilberryspool::attempts
