// Target records between control nodes and gateways, as JSON.

#ifndef LIBS_TRAFFIC_TARGET_CODEC_H_
#define LIBS_TRAFFIC_TARGET_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>
#include <vector>

#include "libs/packing/packed_text.h"
#include "libs/traffic/target_registry.h"

namespace bilberryspool::traffic {

// The revision and the time stay behind: they mean something in one book only.
boost::json::value ToJson(const TargetRecord& record);
// Nothing where `json` is not what ToJson makes.
std::optional<TargetRecord> TargetRecordFromJson(
    const boost::json::value& json);

// Many records as one text; short ones are not packed, which gains nothing.
packing::PackedText PackTargets(const std::vector<TargetRecord>& records);
// Nothing where the text is not what PackTargets makes.
std::optional<std::vector<TargetRecord>> UnpackTargets(
    const packing::PackedText& text);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_CODEC_H_
