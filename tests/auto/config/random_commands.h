#ifndef TESTS_AUTO_CONFIG_RANDOM_COMMANDS_H_
#define TESTS_AUTO_CONFIG_RANDOM_COMMANDS_H_

#include <cstdint>
#include <vector>

#include "libs/base/check.h"
#include "libs/base/random.h"
#include "libs/config/command.h"
#include "libs/config/state_machine.h"

namespace bilberryspool::config {

// How many seeds a randomised test runs: `fallback`, or BILBERRYSPOOL_SEEDS.
std::uint64_t SeedCount(std::uint64_t fallback);

// While it lives, a broken invariant ends the test case, not the program, so
// that the seed is printed.
class ThrowOnBrokenInvariant {
 public:
  ThrowOnBrokenInvariant();
  ~ThrowOnBrokenInvariant();
  ThrowOnBrokenInvariant(const ThrowOnBrokenInvariant&) = delete;
  ThrowOnBrokenInvariant& operator=(const ThrowOnBrokenInvariant&) = delete;

 private:
  InvariantHandler previous_handler_;
};

// A change over a small set of names, so that changes meet each other.
Change RandomChange(Random& random);

// A command of one to three changes, now and then compared with a version at or
// before `version`.
Command RandomCommand(Random& random, CommandId id, ConfigVersion version);

// A command that always passes on an empty configuration.
Command CommandOf(const char* id, std::vector<Change> changes);

// One service with a placement, priority, workspace and group.
Command BaseCommand();

// Declares most of what random changes refer to, so that many are accepted.
Command ReferencedObjectsCommand();

}  // namespace bilberryspool::config

#endif  // TESTS_AUTO_CONFIG_RANDOM_COMMANDS_H_
