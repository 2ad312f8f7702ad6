#ifndef LIBS_LIMITS_PRIORITY_H_
#define LIBS_LIMITS_PRIORITY_H_

#include <cstdint>

namespace bilberryspool::limits {

// Importance of a request; requests of the lowest priority are shed first.
enum class Priority : std::uint8_t {
  // Work that nobody waits for. Runs only while no other work is queued.
  kBackground,
  kNormal,
  // Runs before other work of its own workspace. It doesn't overtake other
  // workspaces, so that marking all work as high gives no advantage over them.
  kHigh,
};

}  // namespace bilberryspool::limits

#endif  // LIBS_LIMITS_PRIORITY_H_
