// Invariants: conditions that hold regardless of any input.

#ifndef LIBS_BASE_CHECK_H_
#define LIBS_BASE_CHECK_H_

#include <string_view>

namespace bilberryspool {

// Called with the violated invariant; the default handler prints it and aborts.
using InvariantHandler = void (*)(std::string_view what,
                                  const char* file,
                                  int line);

// Replaces the handler, so that a randomised run can report its seed before it
// ends. Returns the previous handler.
InvariantHandler SetInvariantHandler(InvariantHandler handler);

namespace internal {
void ReportBrokenInvariant(std::string_view what, const char* file, int line);
}  // namespace internal

}  // namespace bilberryspool

// Calls the invariant handler, which aborts the process, if `condition` is
// false. Only for invariants of the program itself: invalid input, lost
// messages and failed peers are reported as error values.
#define BILBERRYSPOOL_INVARIANT(condition, what)                         \
  do {                                                                   \
    if (!(condition)) {                                                  \
      ::bilberryspool::internal::ReportBrokenInvariant((what), __FILE__, \
                                                       __LINE__);        \
    }                                                                    \
  } while (false)

#endif  // LIBS_BASE_CHECK_H_
