// The requests for which something happened recently, and when.
//
// Pure: events and `now` in, answers out.

#ifndef LIBS_QUARANTINE_RECENT_REQUESTS_H_
#define LIBS_QUARANTINE_RECENT_REQUESTS_H_

#include <cstddef>
#include <list>
#include <optional>
#include <unordered_map>
#include <utility>

#include "libs/base/time.h"
#include "libs/quarantine/request_fingerprint.h"

namespace bilberryspool::quarantine {

class RecentRequests {
 public:
  // Keeps the `capacity` most recent requests.
  explicit RecentRequests(std::size_t capacity) : capacity_(capacity) {}

  void Note(const RequestFingerprint& request, TimePoint now);
  // When the request was noted last, if known.
  std::optional<TimePoint> Find(const RequestFingerprint& request) const;

 private:
  using Item = std::pair<RequestFingerprint, TimePoint>;

  std::size_t capacity_;
  std::list<Item> newest_first_;
  std::unordered_map<RequestFingerprint,
                     std::list<Item>::iterator,
                     RequestFingerprintHash>
      by_request_;
};

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_RECENT_REQUESTS_H_
