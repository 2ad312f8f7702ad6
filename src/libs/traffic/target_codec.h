// JSON encoding of target records, as sent by control nodes to gateways.

#ifndef LIBS_TRAFFIC_TARGET_CODEC_H_
#define LIBS_TRAFFIC_TARGET_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>
#include <vector>

#include "libs/packing/packed_text.h"
#include "libs/traffic/target_registry.h"

namespace bilberryspool::traffic {

// The revision and the time are left out: they are only meaningful within one
// registry.
boost::json::value ToJson(const TargetRecord& record);
// Returns nothing if `json` does not have the form that ToJson() writes.
std::optional<TargetRecord> TargetRecordFromJson(
    const boost::json::value& json);

// Packs records into one text. Short texts are not compressed because that
// saves nothing.
packing::PackedText PackTargets(const std::vector<TargetRecord>& records);
// Returns nothing if the text does not have the form that PackTargets() writes.
std::optional<std::vector<TargetRecord>> UnpackTargets(
    const packing::PackedText& text);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_CODEC_H_
