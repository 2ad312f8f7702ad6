// Which requests are the same request.
//
// A caller that repeats a request gives it a new id each time, at any entry.
// What stays is who calls, what is called, and the body; nothing else counts.

#ifndef LIBS_QUARANTINE_REQUEST_FINGERPRINT_H_
#define LIBS_QUARANTINE_REQUEST_FINGERPRINT_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/ids.h"

namespace bilberryspool::quarantine {

// What makes two requests the same one.
struct RequestIdentity {
  Workspace workspace;  // empty: anonymous
  std::string_view method;
  std::string_view host;    // without a port, in lower case
  std::string_view target;  // path and query
  std::string_view body;
};

// A cryptographic digest: nobody can make a request that is taken for another
// one's.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  // 32 hexadecimal digits.
  std::string ToText() const;
  // Nothing where `text` is not what ToText() makes.
  static std::optional<RequestFingerprint> FromText(std::string_view text);
};

RequestFingerprint FingerprintOf(const RequestIdentity& identity);

// Hasher for unordered containers.
struct RequestFingerprintHash {
  std::size_t operator()(const RequestFingerprint& fingerprint) const {
    return fingerprint.low;
  }
};

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_REQUEST_FINGERPRINT_H_
