// Number of tokens that a rank's engine recently routed to each expert.

#ifndef LIBS_GROUPS_EXPERT_COUNTS_H_
#define LIBS_GROUPS_EXPERT_COUNTS_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::groups {

// Sent by a rank to its controller for the placement policy. A lost report only
// leaves a gap in the counts.
struct ExpertCounts {
  GroupId group;
  RankIndex rank;
  Incarnation incarnation;
  std::uint64_t number = 0;  // increases within one incarnation
  Duration window{};         // period covered, ending when the report is sent
  std::uint32_t layers = 0;
  std::uint32_t experts = 0;
  std::vector<std::uint64_t> tokens;  // by layer, then expert

  bool operator==(const ExpertCounts&) const = default;
};

boost::json::value ToJson(const ExpertCounts& counts);
// Returns nullopt for invalid input, such as a token list of the wrong size.
std::optional<ExpertCounts> ExpertCountsFromJson(
    const boost::json::value& json);

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_EXPERT_COUNTS_H_
