// JSON encoding of group loads. Compact, as the leader sends it to all gateways
// several times a second.

#ifndef LIBS_GROUP_LOADS_GROUP_LOAD_CODEC_H_
#define LIBS_GROUP_LOADS_GROUP_LOAD_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>
#include <vector>

#include "libs/group_loads/group_load.h"

namespace bilberryspool::group_loads {

// The load of a rank is written as one digit in base 36; higher ones count as
// 35.
inline constexpr std::uint32_t kMaxWrittenRankLoad = 35;

boost::json::value ToJson(const std::vector<GroupLoad>& loads);
// Returns nothing if `json` does not have the form that ToJson() writes.
std::optional<std::vector<GroupLoad>> LoadsFromJson(
    const boost::json::value& json);

}  // namespace bilberryspool::group_loads

#endif  // LIBS_GROUP_LOADS_GROUP_LOAD_CODEC_H_
