#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "libs/traffic/departure_queue.h"
#include "libs/traffic/departure_registry.h"

namespace bilberryspool::traffic {
namespace {

constexpr TimePoint kStart = TimeAt(Seconds(50));

TargetRun Run(const std::string& target, std::uint64_t incarnation = 0) {
  return {TargetId(target), Incarnation(incarnation)};
}

bool Add(DepartureRegistry& registry,
         const std::vector<TargetRun>& runs,
         std::uint64_t remove_up_to = 0) {
  return registry.Apply(DepartureRegistry::Encode({runs, remove_up_to}));
}

// Guards against excluding a target for good that starts again under its name.
TEST_CASE("a departure is that of one run") {
  DepartureRegistry registry;
  CHECK(Add(registry, {Run("t", 5)}));
  CHECK(registry.Contains(Run("t", 5)));
  CHECK_FALSE(registry.Contains(Run("t", 6)));
  CHECK_FALSE(registry.Contains(Run("t", 4)));
}

TEST_CASE("only new runs count, in their order") {
  DepartureRegistry registry;
  CHECK(Add(registry, {Run("b"), Run("a")}));
  CHECK_FALSE(Add(registry, {Run("a")}));
  CHECK(registry.revision() == 2);
  CHECK(Add(registry, {Run("a"), Run("c")}));
  CHECK(registry.AddedAfter(0) ==
        std::vector<TargetRun>{Run("b"), Run("a"), Run("c")});
  CHECK(registry.AddedAfter(2) == std::vector<TargetRun>{Run("c")});
}

// Guards against a log that can no longer be applied because of one name.
TEST_CASE("malformed changes change nothing") {
  for (const std::string text :
       {"", "{", "{}", R"({"runs":[]})", R"({"runs":[1],"remove_up_to":9})",
        R"({"runs":[{"target":"x"}],"remove_up_to":9})",
        R"({"runs":[{"target":"","incarnation":1}],"remove_up_to":9})",
        R"({"runs":[{"target":"a b","incarnation":1}],"remove_up_to":9})"}) {
    CAPTURE(text);
    DepartureRegistry registry;
    Add(registry, {Run("t")});
    CHECK_FALSE(registry.Apply(text));
    CHECK(registry.Contains(Run("t")));
    CHECK(registry.size() == 1);
  }
}

TEST_CASE("names that can be recorded") {
  struct Row {
    std::string name;
    bool is_recordable;
  };
  for (const Row& row :
       {Row{"i-7f3a91c2", true}, Row{"", false}, Row{"a\nb", false},
        Row{"\xff", false}, Row{std::string(256, 'x'), true},
        Row{std::string(257, 'x'), false}}) {
    CAPTURE(row.name);
    CHECK(IsRecordable(TargetId(row.name)) == row.is_recordable);
  }
}

TEST_CASE("a registry can be exported and imported") {
  DepartureRegistry registry;
  Add(registry, {Run("a", 1), Run("b", 2)});
  Add(registry, {Run("c", 3)}, 1);
  DepartureRegistry read;
  REQUIRE(read.Import(registry.Export()));
  CHECK(read.AddedAfter(0) == std::vector<TargetRun>{Run("b", 2), Run("c", 3)});
  CHECK(read.revision() == 3);
  CHECK_FALSE(read.Contains(Run("a", 1)));
  CHECK_FALSE(read.Import("{"));
  CHECK(read.size() == 2);
}

// Guards against memory that grows with each target that ever left.
TEST_CASE("the number of departures is bounded") {
  DepartureRegistry registry;
  for (int i = 0; i < 10'050; ++i) {
    Add(registry, {Run("t" + std::to_string(i))});
  }
  CHECK(registry.size() == 10'000);
  CHECK_FALSE(registry.Contains(Run("t49")));
  CHECK(registry.Contains(Run("t50")));
}

TEST_CASE("departures that wait go into one change") {
  DepartureQueue queue{DepartureQueueOptions{Seconds(120), Seconds(30), 2}};
  DepartureRegistry saved;
  CHECK_FALSE(queue.NextChange(saved, kStart).has_value());
  for (const std::string name : {"a", "b", "c", "a"}) {
    queue.Add(Run(name));
  }
  std::size_t changes = 0;
  while (const auto change = queue.NextChange(saved, kStart)) {
    CHECK(change->runs.size() <= 2);
    Add(saved, change->runs, change->remove_up_to);
    ++changes;
  }
  CHECK(changes == 2);
  CHECK(saved.size() == 3);
}

// Guards against forgetting a target that may still serve: departures are kept
// for the retention, counted from when this node has applied them.
TEST_CASE("departures are removed once the retention is over") {
  DepartureQueue queue{DepartureQueueOptions{}};
  DepartureRegistry saved;
  const auto save = [&](const std::string& name, TimePoint now) {
    queue.Add(Run(name));
    const auto change = queue.NextChange(saved, now);
    REQUIRE(change.has_value());
    Add(saved, change->runs, change->remove_up_to);
    queue.OnApplied(saved.revision(), now);
  };
  save("a", kStart);
  save("b", kStart + Seconds(100));
  save("c", kStart + Seconds(120));
  CHECK(saved.Contains(Run("a")));
  save("d", kStart + Seconds(121));
  CHECK_FALSE(saved.Contains(Run("a")));
  CHECK(saved.Contains(Run("b")));
  // Also if no other target leaves, but not with a change for each.
  CHECK_FALSE(queue.NextChange(saved, kStart + Seconds(150)).has_value());
  const auto removal = queue.NextChange(saved, kStart + Seconds(242));
  REQUIRE(removal.has_value());
  CHECK(removal->runs.empty());
  Add(saved, removal->runs, removal->remove_up_to);
  CHECK(saved.size() == 0);
  CHECK_FALSE(queue.NextChange(saved, kStart + Seconds(900)).has_value());
}

// Guards against a log that grows with the number of targets that ever left: a
// tenth of 6,200 targets leaves each minute, for ten minutes.
TEST_CASE("departures of a large deployment stay few and are removed") {
  constexpr int kPerMinute = 620;
  constexpr int kMinutes = 10;
  constexpr std::size_t kMaxSnapshotBytes = 256UL * 1024;
  DepartureQueue queue{DepartureQueueOptions{}};
  DepartureRegistry saved;
  std::size_t most = 0;
  std::size_t changes = 0;
  const auto propose = [&](TimePoint now) {
    const auto change = queue.NextChange(saved, now);
    if (!change.has_value()) {
      return;
    }
    ++changes;
    if (Add(saved, change->runs, change->remove_up_to)) {
      queue.OnApplied(saved.revision(), now);
    }
    most = std::max(most, saved.size());
  };
  TimePoint now = kStart;
  for (int i = 0; i < kPerMinute * kMinutes; ++i) {
    queue.Add(Run("target-" + std::to_string(i), 1'790'000'000'000));
    propose(now);
    now += Seconds(60) / kPerMinute;
  }
  CHECK(most <= 2 * kPerMinute + 1);
  CHECK(saved.Export().size() <= kMaxSnapshotBytes);
  CHECK(changes <= kPerMinute * kMinutes);
  for (int second = 0; second < 180; ++second) {
    propose(now);
    now += Seconds(1);
  }
  CHECK(saved.size() == 0);
  CHECK(changes <= kPerMinute * kMinutes + 6);
}

}  // namespace
}  // namespace bilberryspool::traffic
