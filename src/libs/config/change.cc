#include "libs/config/change.h"

namespace bilberryspool::config {

bool IsSystemChange(const Change& change) {
  return std::holds_alternative<ObserveControlMembers>(change) ||
         std::holds_alternative<GrantLease>(change) ||
         std::holds_alternative<ReleaseLease>(change) ||
         std::holds_alternative<RecordMap>(change);
}

}  // namespace bilberryspool::config
