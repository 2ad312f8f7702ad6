#include "libs/rings/thread_name.h"

#include <pthread.h>

namespace bilberryspool::rings {

void NameThisThread(const std::string& name) {
  constexpr std::size_t max_bytes = 15;
  pthread_setname_np(pthread_self(), name.substr(0, max_bytes).c_str());
}

}  // namespace bilberryspool::rings
