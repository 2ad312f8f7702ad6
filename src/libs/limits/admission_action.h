#ifndef LIBS_LIMITS_ADMISSION_ACTION_H_
#define LIBS_LIMITS_ADMISSION_ACTION_H_

#include <cstdint>
#include <string_view>
#include <variant>

#include "libs/base/time.h"
#include "libs/limits/admission_event.h"

namespace bilberryspool::limits {

enum class RefusalReason : std::uint8_t {
  // The service has no usable target.
  kNoCapacity,
  kRequestRate,
  kTokenBudget,
  // The request can't finish by its deadline, given the current queue and run
  // times.
  kDeadline,
  // The queue is full, and this request is the least important one.
  kQueueFull,
  // The request was queued and removed in favor of a more important one.
  kShed,
};

// The request may be sent to a target now.
struct Admit {
  AdmissionId id;
};

// Final: the request did not run and is no longer tracked. The caller has to be
// answered at once, with `retry_after`.
struct Refuse {
  AdmissionId id;
  RefusalReason reason = RefusalReason::kNoCapacity;
  Duration retry_after{0};
};

using AdmissionAction = std::variant<Admit, Refuse>;

std::string_view ToString(RefusalReason reason);

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_ADMISSION_ACTION_H_
