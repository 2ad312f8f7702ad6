// JSON encoding of limit statements, shares and grants, exchanged between
// gateways and control nodes.

#ifndef LIBS_DECLARED_LIMITS_LIMIT_CODEC_H_
#define LIBS_DECLARED_LIMITS_LIMIT_CODEC_H_

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>
#include <vector>

#include "libs/declared_limits/declared_limit.h"
#include "libs/declared_limits/limit_granter.h"

namespace bilberryspool::declared_limits {

// Parses a limit in requests per second as declared by a target. Nothing if
// `text` is not a decimal number of zero or more.
std::optional<double> ReadLimit(std::string_view text);

boost::json::value ToJson(const std::vector<LimitStatement>& statements);
boost::json::value ToJson(const std::vector<LimitShare>& shares);
boost::json::value ToJson(const GrantRequest& request);
boost::json::value ToJson(const GrantAnswer& answer);

// Nothing if `json` doesn't have the form that ToJson() writes.
std::optional<std::vector<LimitStatement>> StatementsFromJson(
    const boost::json::value& json);
std::optional<std::vector<LimitShare>> SharesFromJson(
    const boost::json::value& json);
std::optional<GrantRequest> GrantRequestFromJson(
    const boost::json::value& json);
std::optional<GrantAnswer> GrantAnswerFromJson(const boost::json::value& json);

}  // namespace bilberryspool::declared_limits

#endif  // LIBS_DECLARED_LIMITS_LIMIT_CODEC_H_
