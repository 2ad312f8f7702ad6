// Tests updates of targets for many gateways.

#include "plugins/control_node/target_updates.h"

#include <doctest/doctest.h>

#include <map>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/traffic/target_codec.h"

namespace bilberryspool::control_node {
namespace {

constexpr Duration kFreshness = Milliseconds(100);

TimePoint At(std::int64_t ms) {
  return TimeAt(Seconds(100)) + Milliseconds(ms);
}

traffic::TargetAnnouncement MakeAnnouncement(std::uint64_t number,
                                             std::uint64_t sequence) {
  traffic::TargetAnnouncement announcement;
  announcement.target = TargetId("i-" + std::to_string(number));
  announcement.service = ServiceId("model");
  announcement.address = "10.0.0.1:" + std::to_string(1000 + number);
  announcement.slots = static_cast<std::uint32_t>(sequence);
  announcement.sequence = sequence;
  return announcement;
}

// What a gateway knows of targets: their slots.
struct Gateway {
  std::uint64_t revision = 0;
  std::map<std::string, std::uint32_t> slots;

  void Read(const TargetUpdates::Update& update) {
    const auto records = traffic::UnpackTargets(update.targets);
    REQUIRE(records.has_value());
    for (const traffic::TargetRecord& record : *records) {
      slots[record.announcement.target.value()] = record.announcement.slots;
    }
    revision = update.revision;
  }
};

// Guards against an outage of 8 s after all control nodes were killed, in which
// hardly any request is served because a separate answer is created for each of
// hundreds of gateways.
TEST_CASE("requesters with the same revision get the same update") {
  traffic::TargetRegistry registry(traffic::TargetRegistryOptions{});
  TargetUpdates updates;
  for (std::uint64_t i = 0; i < 50; ++i) {
    registry.Announce(MakeAnnouncement(i, 1), At(0));
  }
  const auto first = updates.ChangesSince(registry, 0, kFreshness, At(0));
  registry.Announce(MakeAnnouncement(60, 1), At(10));
  const auto second = updates.ChangesSince(registry, 0, kFreshness, At(20));
  CHECK(second.revision == first.revision);
  CHECK(second.targets == first.targets);
  CHECK(updates.ChangesSince(registry, 0, kFreshness, At(200)).revision >
        first.revision);
}

TEST_CASE("an update is never empty while there are changes") {
  traffic::TargetRegistry registry(traffic::TargetRegistryOptions{});
  TargetUpdates updates;
  registry.Announce(MakeAnnouncement(1, 1), At(0));
  const auto first = updates.ChangesSince(registry, 0, kFreshness, At(0));
  registry.Announce(MakeAnnouncement(2, 1), At(1));
  const auto next =
      updates.ChangesSince(registry, first.revision, kFreshness, At(1));
  CHECK(next.revision > first.revision);
  CHECK(traffic::UnpackTargets(next.targets)->size() == 1);
}

TEST_CASE("all gateways learn all targets whenever they poll") {
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    traffic::TargetRegistry registry(traffic::TargetRegistryOptions{});
    TargetUpdates updates;
    std::vector<Gateway> gateways(6);
    std::uint64_t sequence = 0;
    for (std::int64_t ms = 0; ms < 2000; ms += 7) {
      registry.Announce(MakeAnnouncement(random.Below(20), ++sequence), At(ms));
      Gateway& gateway = gateways[random.Below(gateways.size())];
      gateway.Read(
          updates.ChangesSince(registry, gateway.revision, kFreshness, At(ms)));
    }
    for (Gateway& gateway : gateways) {
      for (int i = 0; i < 3 && gateway.revision < registry.revision(); ++i) {
        gateway.Read(updates.ChangesSince(registry, gateway.revision,
                                          kFreshness, At(3000)));
      }
      CHECK(gateway.revision == registry.revision());
      CHECK(gateway.slots.size() == registry.records().size());
      for (const auto& [target, record] : registry.records()) {
        CHECK(gateway.slots[target.value()] == record.announcement.slots);
      }
    }
  }
}

}  // namespace
}  // namespace bilberryspool::control_node
