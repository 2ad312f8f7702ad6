#include "plugins/operators/applied_index.h"

namespace bilberryspool::operators {

std::optional<LogIndex> AppliedIndex(const control::OperatorControl& control,
                                     TimePoint now) {
  const std::uint64_t applied = control.replica_status(now).applied_index;
  return applied == 0 ? std::nullopt : std::make_optional(LogIndex(applied));
}

}  // namespace bilberryspool::operators
