#include "libs/base/check.h"

#include <atomic>
#include <cstdlib>
#include <iostream>

namespace bilberryspool {
namespace {

void PrintAndAbort(std::string_view what, const char* file, int line) {
  std::cerr << "invariant broken: " << what << " (" << file << ":" << line
            << ")" << std::endl;
  std::abort();
}

std::atomic<InvariantHandler> current_handler = &PrintAndAbort;

}  // namespace

InvariantHandler SetInvariantHandler(InvariantHandler handler) {
  return current_handler.exchange(handler != nullptr ? handler
                                                     : &PrintAndAbort);
}

namespace internal {

void ReportBrokenInvariant(std::string_view what, const char* file, int line) {
  current_handler.load()(what, file, line);
}

}  // namespace internal
}  // namespace bilberryspool
