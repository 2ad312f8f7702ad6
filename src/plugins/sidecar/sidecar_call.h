// What control nodes and sidecars agree on beside the engine's own calls.

#ifndef PLUGINS_SIDECAR_SIDECAR_CALL_H_
#define PLUGINS_SIDECAR_SIDECAR_CALL_H_

#include "libs/base/time.h"
#include "libs/net/http_message.h"

namespace bilberryspool::sidecar {

// How many milliseconds the engine may take; the sidecar then answers 502 in
// its place, so that the asker knows that the sidecar itself is well.
inline constexpr char kTimeoutField[] = "Patience-Ms";
// "IP:PORT" of the engine, for relays that serve more than one.
inline constexpr char kEngineField[] = "Engine";
// Asks the sidecar for a groups::RankReading; the mark of the last one, or 0.
inline constexpr char kMarkField[] = "Reading-Mark";

// The body is a packing::PackedText of what the engine is to get.
inline constexpr char kPackedField[] = "Packed";

// The time that the asker allows the engine, within bounds.
Duration TimeoutOf(const net::HttpRequest& request);

}  // namespace bilberryspool::sidecar

#endif  // PLUGINS_SIDECAR_SIDECAR_CALL_H_
