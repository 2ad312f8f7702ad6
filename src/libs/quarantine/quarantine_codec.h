// JSON encoding of quarantine records and observations, exchanged between
// gateways and control nodes.

#ifndef LIBS_QUARANTINE_QUARANTINE_CODEC_H_
#define LIBS_QUARANTINE_QUARANTINE_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>
#include <vector>

#include "libs/quarantine/quarantine_record.h"

namespace bilberryspool::quarantine {

boost::json::value ToJson(const std::vector<QuarantineRecord>& records);
boost::json::value ToJson(const std::vector<Observation>& observations);

// Nothing if `json` doesn't have the form that ToJson() writes.
std::optional<std::vector<QuarantineRecord>> RecordsFromJson(
    const boost::json::value& json);
std::optional<std::vector<Observation>> ObservationsFromJson(
    const boost::json::value& json);

}  // namespace bilberryspool::quarantine

#endif  // LIBS_QUARANTINE_QUARANTINE_CODEC_H_
