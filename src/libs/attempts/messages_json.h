// JSON form of the messages, separate so that the decision logic does not
// depend on the JSON library.

#ifndef LIBS_ATTEMPTS_MESSAGES_JSON_H_
#define LIBS_ATTEMPTS_MESSAGES_JSON_H_

#include <boost/json/value.hpp>
#include <optional>
#include <string_view>

#include "libs/attempts/messages.h"

namespace bilberryspool::attempts {

boost::json::value ToJson(const ClaimRequest& message);
boost::json::value ToJson(const ClaimAnswer& message);
boost::json::value ToJson(const ReleaseClaim& message);
boost::json::value ToJson(const ReleaseAnswer& message);
boost::json::value ToJson(const FinishClaim& message);
boost::json::value ToJson(const StartAttempt& message);
boost::json::value ToJson(const AttemptRefusal& message);
boost::json::value ToJson(const SettleRequest& message);
boost::json::value ToJson(const SettleAnswer& message);

// The name of the reason in messages and logs.
std::string_view ToString(AbstainReason reason);

// Parses a message of type `Message`. Returns none if a field is missing, of
// the wrong type or out of range. Defined for the message types above.
template <typename Message>
std::optional<Message> FromJson(const boost::json::value& json);

}  // namespace bilberryspool::attempts

#endif  // LIBS_ATTEMPTS_MESSAGES_JSON_H_
