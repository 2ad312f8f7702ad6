// What control nodes and sidecars agree on beside the engine's own calls.

#ifndef PLUGINS_SIDECAR_SIDECAR_CALL_H_
#define PLUGINS_SIDECAR_SIDECAR_CALL_H_

namespace bilberryspool::sidecar {

// How many milliseconds the engine may take; the sidecar then answers 502 in
// its place, so that the asker knows that the sidecar itself is well.
inline constexpr char kPatienceField[] = "Patience-Ms";
// "IP:PORT" of the engine, for relays that serve more than one.
inline constexpr char kEngineField[] = "Engine";

}  // namespace bilberryspool::sidecar

#endif  // PLUGINS_SIDECAR_SIDECAR_CALL_H_
