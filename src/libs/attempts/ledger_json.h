// JSON form of an exported ledger, which a holder hands to its next
// incarnation.

#ifndef LIBS_ATTEMPTS_LEDGER_JSON_H_
#define LIBS_ATTEMPTS_LEDGER_JSON_H_

#include <boost/json/value.hpp>
#include <optional>

#include "libs/attempts/claim_holder.h"

namespace bilberryspool::attempts {

boost::json::value ToJson(const LedgerExport& ledger);

// Returns none if any part is missing or malformed: an incomplete ledger must
// not be taken for a complete one.
std::optional<LedgerExport> LedgerFromJson(const boost::json::value& json);

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_LEDGER_JSON_H_
