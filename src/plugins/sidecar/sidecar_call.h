// Headers of calls between control nodes and sidecars, in addition to the
// engine's own protocol.

#ifndef PLUGINS_SIDECAR_SIDECAR_CALL_H_
#define PLUGINS_SIDECAR_SIDECAR_CALL_H_

#include <optional>

#include "libs/base/time.h"
#include "libs/net/http_message.h"

namespace bilberryspool::sidecar {

// Time limit of the engine in milliseconds. After it the sidecar responds with
// 502 on its behalf, so that the requester knows that the sidecar itself works.
inline constexpr char kTimeoutField[] = "Patience-Ms";
// "IP:PORT" of the engine, for relays that serve more than one.
inline constexpr char kEngineField[] = "Engine";
// Time in microseconds after which the sidecar sends the request to its engine
// once more if that has not answered. Only for requests that may be carried out
// twice, the second time late.
inline constexpr char kRepeatField[] = "Repeat-After-Us";
// Requests a groups::RankReading from the sidecar; the value is the mark of the
// last one, or 0.
inline constexpr char kMarkField[] = "Reading-Mark";

// The body is a packing::PackedText of the body for the engine.
inline constexpr char kPackedField[] = "Packed";

// A request that the sidecar answers by itself at once. The answer shows that
// the VM is not frozen; engines take up to 20 ms for some of their answers.
inline constexpr char kLivenessTarget[] = "/alive";
net::HttpRequest MakeLivenessRequest();

// Returns the time that the requester allows the engine, within bounds.
Duration TimeoutOf(const net::HttpRequest& request);
// Returns the time given by `kRepeatField`; nothing if the request must not be
// repeated.
std::optional<Duration> RepeatTimeOf(const net::HttpRequest& request);

}  // namespace bilberryspool::sidecar

#endif  // PLUGINS_SIDECAR_SIDECAR_CALL_H_
