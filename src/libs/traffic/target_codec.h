// Target records between control nodes and gateways, as JSON.

#ifndef LIBS_TRAFFIC_TARGET_CODEC_H_
#define LIBS_TRAFFIC_TARGET_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>

#include "libs/traffic/target_book.h"

namespace bilberryspool::traffic {

// The revision and the time stay behind: they mean something in one book only.
boost::json::value ToJson(const TargetRecord& record);
// Nothing where `json` is not what ToJson makes.
std::optional<TargetRecord> TargetRecordFromJson(
    const boost::json::value& json);

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_TARGET_CODEC_H_
