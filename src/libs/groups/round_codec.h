// Binary encoding of the polling messages for links within the system.
//
// Parsing the counts of thousands of experts from text would take a small
// control node more processor time than all its other work.

#ifndef LIBS_GROUPS_ROUND_CODEC_H_
#define LIBS_GROUPS_ROUND_CODEC_H_

#include <optional>
#include <string>
#include <string_view>

#include "libs/groups/rank_round.h"

namespace bilberryspool::groups {

std::string Encode(const RankReading& reading);
std::string Encode(const RoundRequest& question);
std::string Encode(const RoundResponse& answer);
std::string Encode(const MulticastOrder& order);
std::string Encode(const MulticastResult& answer);

// The decoders return nullopt for bytes that were not produced by Encode() or
// were truncated.
std::optional<RankReading> DecodeReading(std::string_view bytes);
std::optional<RoundRequest> DecodeRoundRequest(std::string_view bytes);
std::optional<RoundResponse> DecodeRoundResponse(std::string_view bytes);
std::optional<MulticastOrder> DecodeMulticastOrder(std::string_view bytes);
std::optional<MulticastResult> DecodeMulticastResult(std::string_view bytes);

}  // namespace bilberryspool::groups

#endif  // LIBS_GROUPS_ROUND_CODEC_H_
