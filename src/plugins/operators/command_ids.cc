#include "plugins/operators/command_ids.h"

#include <sodium.h>

#include <array>

#include "libs/base/check.h"

namespace bilberryspool::operators {

namespace {

constexpr std::size_t kIdBytes = 12;

}  // namespace

CommandId MakeCommandId() {
  BILBERRYSPOOL_INVARIANT(sodium_init() >= 0, "libsodium can't start");
  std::array<unsigned char, kIdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, kIdBytes * 2 + 1> text{};
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  return CommandId(text.data());
}

}  // namespace bilberryspool::operators
