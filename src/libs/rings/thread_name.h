#ifndef LIBS_RINGS_THREAD_NAME_H_
#define LIBS_RINGS_THREAD_NAME_H_

#include <string>

namespace bilberryspool::rings {

// Sets the name of the calling thread for debuggers and `top -H`. Names are
// truncated to the 15 bytes that the kernel keeps.
void NameThisThread(const std::string& name);

}  // namespace bilberryspool::rings

#endif  // LIBS_RINGS_THREAD_NAME_H_
