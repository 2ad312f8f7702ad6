#include "auto/config/random_commands.h"

#include <algorithm>
#include <cstdlib>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>

namespace bilberryspool::config {
namespace {

template <typename Id>
Id RandomId(Random& random, const char* prefix) {
  return Id(prefix + std::to_string(random.Below(3)));
}

TargetSelector RandomSelector(Random& random) {
  switch (random.Below(3)) {
    case 0:
      return RandomId<TargetId>(random, "t");
    case 1:
      return RandomId<FailureDomain>(random, "d");
    default:
      return AnyTarget();
  }
}

ExpertKey RandomExpert(Random& random) {
  return {RandomId<GroupId>(random, "g"),
          static_cast<std::uint32_t>(random.Below(3)),
          ExpertIndex(static_cast<std::uint32_t>(random.Below(5)))};
}

RankIndex RandomRank(Random& random) {
  return RankIndex(static_cast<std::uint32_t>(random.Below(3)));
}

void Throw(std::string_view what, const char* /*file*/, int /*line*/) {
  throw std::logic_error(std::string(what));
}

}  // namespace

ThrowOnBrokenInvariant::ThrowOnBrokenInvariant()
    : previous_handler_(SetInvariantHandler(&Throw)) {}

ThrowOnBrokenInvariant::~ThrowOnBrokenInvariant() {
  SetInvariantHandler(previous_handler_);
}

std::uint64_t SeedCount(std::uint64_t fallback) {
  const char* count = std::getenv("BILBERRYSPOOL_SEEDS");
  return count == nullptr ? fallback : std::strtoull(count, nullptr, 10);
}

Change RandomChange(Random& random) {
  const auto service = RandomId<ServiceId>(random, "s");
  const auto group = RandomId<GroupId>(random, "g");
  const auto number = static_cast<std::uint32_t>(random.Below(4));
  switch (random.Below(17)) {
    case 0:
      return DeclareService{
          {service, ServiceKind::kEngine, "", random.Chance(0.5)}};
    case 1:
      return DeclareService{
          {service, ServiceKind::kPlain, "/" + service.value()}};
    case 2:
      return RemoveService{service};
    case 3:
      return DeclareWorkspace{{RandomId<Workspace>(random, "w"), number,
                               std::nullopt, 100, number + 1,
                               RandomId<PriorityName>(random, "p")}};
    case 4:
      return DeclarePriority{{RandomId<PriorityName>(random, "p"), number}};
    case 5:
      return RemovePriority{RandomId<PriorityName>(random, "p")};
    case 6:
      return DeclareGroup{{group, service, number, 2, 4, {TargetId("t1")}}};
    case 7:
      return DeclareGroup{{group, service, 2, 2, 4, {}, AnyTarget(), 0.5}};
    case 8:
      return RemoveGroup{group};
    case 9:
      return Allow{{service, RandomSelector(random)}};
    case 10:
      return Deny{{service, RandomSelector(random)}};
    case 11:
      return Drain{{RandomSelector(random)}};
    case 12:
      return Undrain{RandomSelector(random)};
    case 13:
      return Pin{{RandomExpert(random), RandomRank(random)}};
    case 14:
      return Move{
          {RandomExpert(random), RandomRank(random), RandomRank(random)}};
    case 15:
      return RecordMap{{group,
                        MapVersion(number),
                        FencingToken(number),
                        1,
                        1,
                        {{RankIndex(0)}},
                        {{RandomRank(random)}}}};
    default:
      return GrantLease{group, RandomId<NodeId>(random, "n"), Incarnation(1),
                        FencingToken(random.Below(20))};
  }
}

Command RandomCommand(Random& random, CommandId id, ConfigVersion version) {
  Command command{std::move(id), RandomId<OperatorId>(random, "op")};
  for (std::uint64_t i = 0; i <= random.Below(3); ++i) {
    command.changes.push_back(RandomChange(random));
  }
  if (random.Chance(0.5)) {
    const std::uint64_t behind = random.Below(3);
    command.expected = {
        ConfigVersion(version.value() - std::min(behind, version.value())),
        random.Chance(0.5) ? CompareScope::kConfiguration
                           : CompareScope::kObjects};
  }
  return command;
}

Command CommandOf(const char* id, std::vector<Change> changes) {
  return {CommandId(id), OperatorId("op"), std::nullopt, std::move(changes)};
}

Command BaseCommand() {
  const ServiceId drafter("drafter");
  return CommandOf(
      "base",
      {DeclareService{{drafter}}, Allow{{drafter, FailureDomain("sahab")}},
       DeclarePriority{{PriorityName("urgent"), 10}},
       DeclareWorkspace{{Workspace("kiln"), 10U, 4U, 1000U, 2,
                         PriorityName("urgent"), "hash"}},
       DeclareGroup{{GroupId("g"),
                     drafter,
                     2,
                     1,
                     8,
                     {TargetId("t1"), TargetId("t2"), TargetId("t3")},
                     AnyTarget(),
                     1.0,
                     0.2,
                     {{1080, 1260}}}}});
}

Command ReferencedObjectsCommand() {
  Command command = CommandOf("world", {});
  for (std::uint32_t i = 0; i < 3; ++i) {
    const std::string number = std::to_string(i);
    const ServiceId service("s" + number);
    command.changes.insert(
        command.changes.end(),
        {DeclareService{{service}}, Allow{{service, AnyTarget()}},
         DeclarePriority{{PriorityName("p" + number), i}},
         DeclareGroup{{GroupId("g" + number), service, 3, 3, 5}}});
  }
  return command;
}

}  // namespace bilberryspool::config
