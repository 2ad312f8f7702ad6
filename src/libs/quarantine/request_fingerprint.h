// Identifies repetitions of the same request, and the prompt parts that
// requests share.
//
// A caller that repeats a request gives it a new id each time and may use any
// entry. The caller, the request target and the body stay the same; nothing
// else is compared.

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

// The parts of a request that identify it.
struct RequestIdentity {
  Workspace workspace;  // empty: anonymous
  std::string_view method;
  std::string_view host;    // without a port, in lower case
  std::string_view target;  // path and query
  std::string_view body;
};

// A cryptographic digest of a request or of a prompt part, so that nobody can
// create a request with the fingerprint of another one.
struct RequestFingerprint {
  std::uint64_t high = 0;
  std::uint64_t low = 0;

  auto operator<=>(const RequestFingerprint&) const = default;

  // Whether it identifies a prompt part; the first bit says so.
  bool is_prompt_part() const;

  // 32 hexadecimal digits.
  std::string ToText() const;
  // Nothing if `text` doesn't have the form that ToText() writes.
  static std::optional<RequestFingerprint> FromText(std::string_view text);
};

RequestFingerprint FingerprintOf(const RequestIdentity& identity);
// The same part has the same id in all requests, whoever sends them.
RequestFingerprint FingerprintOfPromptPart(std::string_view id);

// Hasher for unordered containers.
struct RequestFingerprintHash {
  std::size_t operator()(const RequestFingerprint& fingerprint) const {
    return fingerprint.low;
  }
};

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_REQUEST_FINGERPRINT_H_
