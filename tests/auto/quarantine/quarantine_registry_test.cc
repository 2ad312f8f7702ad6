#include <doctest/doctest.h>

#include <cstdint>
#include <string>
#include <vector>

#include "libs/quarantine/quarantine_registry.h"

namespace bilberryspool::quarantine {
namespace {

const RequestFingerprint kRequest{1, 1};

TimePoint TimeAt(Duration since) {
  return TimePoint{} + Seconds(1000) + since;
}

// Target 0 terminates a run that was not the sole one, the others sole runs.
TerminationObserved TerminationOf(
    std::int64_t target,
    const RequestFingerprint& request = kRequest) {
  TerminationObserved end;
  end.request = request;
  end.service = ServiceId("model");
  end.run = {TargetId("t" + std::to_string(target)), Incarnation(1)};
  end.was_permitted = target > 0;
  return end;
}

// Three terminations at intervals of 5 s.
QuarantineRegistry RegistryWithRefusal() {
  QuarantineRegistry registry{QuarantineOptions{}};
  for (std::int64_t i = 0; i < 3; ++i) {
    registry.OnTermination(TerminationOf(i), TimeAt(Seconds(5 * i)));
  }
  return registry;
}
// The decision delay of 100 ms after the third termination.
constexpr Duration kRefusedAt = Seconds(10) + Milliseconds(100);

TEST_CASE("one termination restricts a request to one run, three refuse it") {
  QuarantineRegistry registry{QuarantineOptions{}};
  CHECK(registry.VerdictOf(kRequest, TimeAt(Seconds(0))) == Verdict::kFree);
  CHECK(registry.OnTermination(TerminationOf(0), TimeAt(Seconds(0))));
  CHECK(registry.VerdictOf(kRequest, TimeAt(Seconds(0))) ==
        Verdict::kOneAtATime);
  CHECK_FALSE(registry.OnTermination(TerminationOf(1), TimeAt(Seconds(5))));
  registry.OnTermination(TerminationOf(2), TimeAt(Seconds(10)));
  CHECK_FALSE(registry.TryTrial(kRequest, "a", TimeAt(Seconds(10))));
  CHECK(registry.Tick(TimeAt(Seconds(10))).empty());
  CHECK(registry.VerdictOf(kRequest, TimeAt(kRefusedAt)) == Verdict::kRefused);
  CHECK(registry.Tick(TimeAt(kRefusedAt)) == std::vector{kRequest});
  CHECK(registry.Tick(TimeAt(kRefusedAt)).empty());
}

TEST_CASE("a termination that several gateways report counts once") {
  QuarantineRegistry registry{QuarantineOptions{}};
  for (std::int64_t i = 0; i < 5; ++i) {
    registry.OnTermination(TerminationOf(0), TimeAt(Seconds(2 * i)));
  }
  CHECK(registry.RecordOf(kRequest, TimeAt(Seconds(9)))->terminations == 1);
}

// Guards against refusing a request because a rack lost power while running it.
TEST_CASE("targets that terminate together count as two at most") {
  QuarantineRegistry registry{QuarantineOptions{}};
  for (std::int64_t i = 0; i < 40; ++i) {
    TerminationObserved end = TerminationOf(i);
    end.was_permitted = false;
    registry.OnTermination(end, TimeAt(Milliseconds(20 * i)));
  }
  CHECK(registry.RecordOf(kRequest, TimeAt(Seconds(1)))->terminations == 2);
  CHECK(registry.VerdictOf(kRequest, TimeAt(Seconds(1))) ==
        Verdict::kOneAtATime);
  CHECK_FALSE(registry.OnTermination(TerminationOf(98), TimeAt(Seconds(3))));
  registry.OnTermination(TerminationOf(99), TimeAt(Seconds(5)));
  CHECK(registry.VerdictOf(kRequest, TimeAt(Seconds(5) + Milliseconds(100))) ==
        Verdict::kRefused);
}

// Guards against refusing a popular request for terminations that another
// request caused at the same targets.
TEST_CASE("of two requests the one with more terminations is refused") {
  const RequestFingerprint other{2, 2};
  QuarantineRegistry registry{QuarantineOptions{}};
  const auto both = [&](std::int64_t target, Duration at) {
    registry.OnTermination(TerminationOf(target, other), TimeAt(at));
    registry.OnTermination(TerminationOf(target), TimeAt(at) + Milliseconds(5));
  };
  registry.OnTermination(TerminationOf(10), TimeAt(Seconds(0)));
  both(1, Seconds(2));
  both(2, Seconds(4));
  both(3, Seconds(6));
  CHECK(registry.VerdictOf(other, TimeAt(Seconds(7))) == Verdict::kOneAtATime);
  CHECK(registry.VerdictOf(kRequest, TimeAt(Seconds(7))) == Verdict::kRefused);
}

// Guards against refusing a popular request while targets restart repeatedly.
TEST_CASE("terminations without sole runs never refuse a request") {
  QuarantineRegistry registry{QuarantineOptions{}};
  for (std::int64_t i = 0; i < 12; ++i) {
    TerminationObserved end = TerminationOf(i);
    end.was_permitted = false;
    registry.OnTermination(end, TimeAt(Seconds(5 * i)));
    CHECK(registry.VerdictOf(kRequest, TimeAt(Seconds(5 * i))) ==
          Verdict::kOneAtATime);
  }
}

TEST_CASE("only one run is permitted at a time") {
  QuarantineRegistry registry{QuarantineOptions{}};
  registry.OnTermination(TerminationOf(0), TimeAt(Seconds(0)));
  CHECK(registry.TryTrial(kRequest, "a", TimeAt(Seconds(1))));
  CHECK_FALSE(registry.TryTrial(kRequest, "b", TimeAt(Seconds(2))));
  registry.OnTrialOver({kRequest, "b"});
  CHECK_FALSE(registry.TryTrial(kRequest, "b", TimeAt(Seconds(2))));
  registry.OnTrialOver({kRequest, "a"});
  CHECK(registry.TryTrial(kRequest, "b", TimeAt(Seconds(2))));
  // The permission of a gateway that has failed expires.
  CHECK(registry.TryTrial(kRequest, "c", TimeAt(Seconds(13))));
}

// Guards against refusing a popular request when many targets terminate.
TEST_CASE("a completion clears a request, also of terminations soon after it") {
  QuarantineRegistry registry = RegistryWithRefusal();
  CHECK(registry.OnCompleted({kRequest, Duration::zero()},
                             TimeAt(kRefusedAt + Seconds(1))));
  CHECK(registry.VerdictOf(kRequest, TimeAt(kRefusedAt + Seconds(1))) ==
        Verdict::kFree);
  CHECK_FALSE(registry.OnTermination(TerminationOf(7),
                                     TimeAt(kRefusedAt + Seconds(20))));
  CHECK(registry.OnTermination(TerminationOf(8),
                               TimeAt(kRefusedAt + Seconds(22))));
}

TEST_CASE("an old completion does not clear later terminations") {
  QuarantineRegistry registry = RegistryWithRefusal();
  CHECK_FALSE(
      registry.OnCompleted({kRequest, Seconds(60)}, TimeAt(kRefusedAt)));
  CHECK(registry.VerdictOf(kRequest, TimeAt(kRefusedAt)) == Verdict::kRefused);
}

TEST_CASE("a quarantine ends with a single run, and the next one is longer") {
  QuarantineRegistry registry = RegistryWithRefusal();
  const TimePoint over = TimeAt(kRefusedAt + Seconds(120));
  CHECK_FALSE(registry.TryTrial(kRequest, "a", over - Seconds(1)));
  CHECK(registry.VerdictOf(kRequest, over) == Verdict::kOneAtATime);
  CHECK(registry.TryTrial(kRequest, "a", over));
  // The request is refused again from the start of that run.
  CHECK(registry.VerdictOf(kRequest, over) == Verdict::kRefused);
  registry.OnTermination(TerminationOf(5), over + Milliseconds(100));
  CHECK(registry.RecordOf(kRequest, over)->remaining == Seconds(240));
  CHECK(registry.TryTrial(kRequest, "b", over + Seconds(241)));
}

TEST_CASE("an operator's release clears a request, later terminations count") {
  QuarantineRegistry registry = RegistryWithRefusal();
  const TimePoint at = TimeAt(kRefusedAt + Seconds(2));
  CHECK(registry.OnReleased({kRequest, Duration::zero()}, at));
  CHECK(registry.VerdictOf(kRequest, at) == Verdict::kFree);
  CHECK_FALSE(registry.OnReleased({RequestFingerprint{9, 9}, {}}, at));
  // A control node that has not received the release must not restore the
  // refusal.
  QuarantineRecord reported;
  reported.request = kRequest;
  reported.terminations = 3;
  reported.since = kRefusedAt;
  reported.remaining = Seconds(100);
  registry.Adopt(reported, at + Seconds(1));
  CHECK(registry.VerdictOf(kRequest, at + Seconds(1)) == Verdict::kFree);
  CHECK(registry.OnTermination(TerminationOf(6), at + Seconds(2)));
}

TEST_CASE("a restarted control node adopts the records of another one") {
  const QuarantineRegistry other = RegistryWithRefusal();
  const TimePoint at = TimeAt(kRefusedAt + Seconds(20));
  QuarantineRegistry registry{QuarantineOptions{}};
  for (const QuarantineRecord& record : other.RecordsToReport(at)) {
    registry.Adopt(record, at);
  }
  CHECK(registry.VerdictOf(kRequest, at) == Verdict::kRefused);
  CHECK(registry.RecordOf(kRequest, at)->remaining == Seconds(100));
  CHECK(registry.TryTrial(kRequest, "a", at + Seconds(100)));
  CHECK(registry.VerdictOf(kRequest, at + Seconds(100)) == Verdict::kRefused);
}

TEST_CASE("an old entry is erased, a quarantined one later") {
  QuarantineRegistry registry = RegistryWithRefusal();
  registry.OnTermination(TerminationOf(0, {5, 5}), TimeAt(kRefusedAt));
  registry.Tick(TimeAt(kRefusedAt + Seconds(602)));
  CHECK(registry.size() == 1);
  registry.Tick(TimeAt(kRefusedAt + Seconds(120 + 601)));
  CHECK(registry.size() == 0);
}

// Guards against unbounded memory when an attacker sends many such requests.
TEST_CASE("the registry stays within its bounds and keeps refused requests") {
  QuarantineOptions options;
  options.max_entries = 50;
  options.max_reported = 10;
  QuarantineRegistry registry(options);
  for (std::int64_t i = 0; i < 3; ++i) {
    registry.OnTermination(TerminationOf(i), TimeAt(Seconds(5 * i)));
  }
  for (std::uint64_t i = 0; i < 500; ++i) {
    registry.OnTermination(TerminationOf(1, {7, i}),
                           TimeAt(Seconds(11) + Milliseconds(i)));
  }
  const TimePoint now = TimeAt(Seconds(12));
  CHECK(registry.size() == 50);
  CHECK(registry.VerdictOf(kRequest, now) == Verdict::kRefused);
  const std::vector<QuarantineRecord> reported = registry.RecordsToReport(now);
  CHECK(reported.size() == 10);
  CHECK(reported.front().request == kRequest);
}

// Guards against refusing a popular request whose sole runs were terminated by
// chance, while a large part of all targets terminated within a second.
TEST_CASE("an only run that ends among many other targets proves little") {
  for (const bool are_others_known_later : {false, true}) {
    CAPTURE(are_others_known_later);
    QuarantineRegistry registry{QuarantineOptions{}};
    const auto terminate_others = [&] {
      for (std::int64_t i = 0; i < 8; ++i) {
        TerminationObserved end =
            TerminationOf(100 + i, RequestFingerprint{2, 2});
        end.was_permitted = false;
        registry.OnTermination(end, TimeAt(Milliseconds(250)));
      }
    };
    if (!are_others_known_later) {
      terminate_others();
    }
    for (std::int64_t i = 0; i < 3; ++i) {
      registry.OnTermination(TerminationOf(i), TimeAt(Milliseconds(100 * i)));
    }
    if (are_others_known_later) {
      terminate_others();
    }
    registry.Tick(TimeAt(Milliseconds(400)));
    CHECK(registry.VerdictOf(kRequest, TimeAt(Milliseconds(400))) ==
          Verdict::kOneAtATime);
  }
}

// Guards against a request that is never refused because other targets
// terminate all the time.
TEST_CASE("enough only runs that end are proof whatever else ends") {
  QuarantineRegistry registry{QuarantineOptions{}};
  for (std::int64_t i = 0; i < 6; ++i) {
    registry.OnTermination(TerminationOf(i), TimeAt(Milliseconds(300 * i)));
    for (std::int64_t k = 0; k < 4; ++k) {
      TerminationObserved end = TerminationOf(
          1000 + 10 * i + k,
          RequestFingerprint{3, static_cast<std::uint64_t>(10 * i + k)});
      end.was_permitted = false;
      registry.OnTermination(end, TimeAt(Milliseconds(300 * i)));
    }
  }
  CHECK(registry.VerdictOf(kRequest, TimeAt(Seconds(2))) == Verdict::kRefused);
}

// Guards against two such requests that hide each other as the likelier cause.
TEST_CASE("two requests that end targets by turns are both refused") {
  QuarantineRegistry registry{QuarantineOptions{}};
  const RequestFingerprint other{2, 2};
  for (std::int64_t i = 0; i < 4; ++i) {
    registry.OnTermination(TerminationOf(i), TimeAt(Milliseconds(200 * i)));
    registry.OnTermination(TerminationOf(50 + i, other),
                           TimeAt(Milliseconds(200 * i + 100)));
  }
  CHECK(registry.VerdictOf(kRequest, TimeAt(Seconds(1))) == Verdict::kRefused);
  CHECK(registry.VerdictOf(other, TimeAt(Seconds(1))) == Verdict::kRefused);
}

}  // namespace
}  // namespace bilberryspool::quarantine
