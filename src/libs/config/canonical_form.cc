#include "libs/config/canonical_form.h"

#include <xxhash.h>

namespace bilberryspool::config::internal {

std::uint64_t Fingerprint(const std::string& bytes) {
  return XXH3_64bits(bytes.data(), bytes.size());
}

}  // namespace bilberryspool::config::internal
