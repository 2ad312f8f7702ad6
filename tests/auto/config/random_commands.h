#ifndef TESTS_AUTO_CONFIG_RANDOM_COMMANDS_H_
#define TESTS_AUTO_CONFIG_RANDOM_COMMANDS_H_

#include <cstdint>
#include <vector>

#include "libs/base/check.h"
#include "libs/base/random.h"
#include "libs/config/command.h"
#include "libs/config/state_machine.h"

namespace bilberryspool::config {

// Number of seeds that a randomised test runs: the environment variable
// BILBERRYSPOOL_SEEDS, or `fallback` if it isn't set.
std::uint64_t SeedCount(std::uint64_t fallback);

// During its lifetime a broken invariant throws, which ends the test case
// rather than the program, so that the seed is printed.
class ThrowOnBrokenInvariant {
 public:
  ThrowOnBrokenInvariant();
  ~ThrowOnBrokenInvariant();
  ThrowOnBrokenInvariant(const ThrowOnBrokenInvariant&) = delete;
  ThrowOnBrokenInvariant& operator=(const ThrowOnBrokenInvariant&) = delete;

 private:
  InvariantHandler previous_handler_;
};

// A random change that uses a small set of names, so that changes often affect
// the same objects.
Change RandomChange(Random& random);

// A command of one to three random changes. Half of the commands expect a
// version at or shortly before `version`.
Command RandomCommand(Random& random, CommandId id, ConfigVersion version);

// A command with the given changes and no expected version.
Command CommandOf(const char* id, std::vector<Change> changes);

// Declares one service with a placement, a priority, a workspace and a group.
// Always accepted on an empty configuration.
Command BaseCommand();

// Declares most of the objects that random changes refer to, so that many of
// them are accepted.
Command ReferencedObjectsCommand();

}  // namespace bilberryspool::config

#endif  // TESTS_AUTO_CONFIG_RANDOM_COMMANDS_H_
