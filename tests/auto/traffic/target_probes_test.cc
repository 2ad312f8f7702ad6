#include "libs/traffic/target_probes.h"

#include <doctest/doctest.h>

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace bilberryspool::traffic {
namespace {

const TargetId kTarget("silent");
const TargetId kOther("other");

TimePoint At(std::int64_t ms) {
  return TimeAt(Seconds(100) + Milliseconds(ms));
}

// Lets the sidecar of `target` answer the probe that follows the first request.
void Introduce(TargetProbes& probes, const TargetId& target, TimePoint now) {
  for (const auto& probe : probes.Tick(now)) {
    REQUIRE(probe.target == target);
    probes.OnProbeEnded(probe, ProbeResult::kAnswered, now);
  }
}

// Plays a gateway that ticks every 100 ms, from a request that is sent to
// `kTarget` at 0, and ends each probe as `result` says.
struct Play {
  TargetProbes probes{TargetProbesOptions{}};
  ProbeResult result = ProbeResult::kUnanswered;
  Duration probe_time = Milliseconds(250);
  std::int64_t now = -100;
  std::optional<TargetProbes::DueProbe> open;
  std::int64_t open_since = 0;
  std::vector<std::int64_t> begun;         // starts of probes, ms
  std::vector<std::int64_t> unresponsive;  // when found so, ms
  std::vector<std::int64_t> responding;    // when responding again, ms

  Play() {
    probes.Tick(At(now));
    probes.OnSent(kTarget, At(0));
    Introduce(probes, kTarget, At(0));
  }

  void Record(VmChange change) {
    if (change == VmChange::kUnresponsive) {
      unresponsive.push_back(now);
    }
    if (change == VmChange::kRespondingAgain) {
      responding.push_back(now);
    }
  }

  void Tick() {
    for (const auto& probe : probes.Tick(At(now))) {
      REQUIRE(probe.target == kTarget);
      REQUIRE_FALSE(open.has_value());
      open = probe;
      open_since = now;
      begun.push_back(now);
    }
  }

  void RunUntil(std::int64_t end) {
    while (now < end) {
      now += 10;
      if (open.has_value() && Milliseconds(now - open_since) >= probe_time) {
        const TargetProbes::DueProbe probe = *open;
        open.reset();
        Record(probes.OnProbeEnded(probe, result, At(now)));
        Tick();
      }
      if (now % 100 == 0) {
        Tick();
      }
    }
  }

  // The gateway's loop does not run until `end`.
  void StallUntil(std::int64_t end) { now = end; }

  void Receive() { Record(probes.OnBytesReceived(kTarget, At(now))); }
  bool is_unresponsive() const {
    return probes.IsUnresponsive(kTarget, At(now));
  }
};

using Moments = std::vector<std::int64_t>;

// Guards against callers who leave a frozen VM after two seconds before the
// gateway knows that their runs can't be ended.
TEST_CASE("the VM of a silent target is found unresponsive before 1.7 s") {
  struct Row {
    const char* name;
    ProbeResult result;
    std::int64_t probe_ms;
    Moments begun;  // until 1700
    Moments unresponsive;
  };
  const Row rows[] = {
      {"frozen", ProbeResult::kUnanswered, 250, {1000, 1250, 1500}, {1500}},
      {"awake", ProbeResult::kAnswered, 10, {1000, 1300, 1600}, {}},
      {"no sidecar", ProbeResult::kNoEvidence, 10, {1000, 1300, 1600}, {}},
      {"unanswered sooner",
       ProbeResult::kUnanswered,
       20,
       {1000, 1300, 1600},
       {1320}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Play play;
    play.result = row.result;
    play.probe_time = Milliseconds(row.probe_ms);
    play.RunUntil(1700);
    CHECK(play.begun == row.begun);
    CHECK(play.unresponsive == row.unresponsive);
    CHECK(play.is_unresponsive() == !row.unresponsive.empty());
    CHECK(play.responding.empty());
  }
}

TEST_CASE("two unanswered probes that span less than 300 ms are no evidence") {
  for (const std::int64_t interval_ms : {100, 250}) {
    CAPTURE(interval_ms);
    TargetProbesOptions options;
    options.interval = Milliseconds(interval_ms);
    TargetProbes probes(options);
    probes.OnSent(kTarget, At(0));
    Introduce(probes, kTarget, At(0));
    std::vector<VmChange> changes;
    for (const std::int64_t began : {std::int64_t{1000}, 1000 + interval_ms}) {
      const auto due = probes.Tick(At(began));
      REQUIRE(due.size() == 1);
      changes.push_back(probes.OnProbeEnded(
          due.front(), ProbeResult::kUnanswered, At(began + 100)));
    }
    CHECK(changes.front() == VmChange::kNone);
    CHECK((changes.back() == VmChange::kUnresponsive) == (interval_ms == 250));
  }
}

// Guards against ending a request at a VM that responds: a sign of life at any
// moment clears what earlier probes found.
TEST_CASE("a byte or an answer clears the evidence") {
  struct Row {
    const char* name;
    std::int64_t at;
    bool is_byte;          // else the probe in progress is answered
    Moments unresponsive;  // until 2900
    Moments responding;
  };
  const Row rows[] = {
      {"a byte before the first probe", 900, true, {2400}, {}},
      {"a byte during the first probe", 1100, true, {2600}, {}},
      {"a byte during the second probe", 1400, true, {2900}, {}},
      {"an answer to the second probe", 1400, false, {2000}, {}},
      {"a byte after it was found", 1600, true, {1500}, {1600}},
      {"an answer after it was found", 1600, false, {1500, 2250}, {1750}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Play play;
    play.RunUntil(row.at);
    if (row.is_byte) {
      play.Receive();
      CHECK_FALSE(play.is_unresponsive());
    } else {
      play.result = ProbeResult::kAnswered;
      play.RunUntil(play.open_since + 250);
      CHECK_FALSE(play.is_unresponsive());
      play.result = ProbeResult::kUnanswered;
    }
    play.RunUntil(2900);
    CHECK(play.unresponsive == row.unresponsive);
    CHECK(play.responding == row.responding);
  }
}

// A sidecar that restarts between two probes tells nothing about its VM.
TEST_CASE("a refused probe between two unanswered ones changes nothing") {
  Play play;
  play.RunUntil(1250);
  play.result = ProbeResult::kNoEvidence;
  play.RunUntil(1500);
  CHECK_FALSE(play.is_unresponsive());
  play.result = ProbeResult::kUnanswered;
  play.RunUntil(1740);
  CHECK_FALSE(play.is_unresponsive());
  play.RunUntil(1750);
  CHECK(play.is_unresponsive());
}

// Guards against a gateway that lacked processor time and takes the answers
// that it has not read for the silence of a VM.
TEST_CASE("probes during which the gateway was late are no evidence") {
  struct Row {
    const char* name;
    std::int64_t from;     // the loop does not run from here
    std::int64_t to;       // to here
    Moments unresponsive;  // until 2500
  };
  const Row rows[] = {
      {"not late", 1000, 1000, {1500}},
      {"as late as it may be", 1000, 1200, {1500}},
      {"late in the first probe", 1000, 1250, {1750}},
      {"late in the second probe", 1300, 1600, {1850}},
      {"late in both probes", 1000, 1900, {2400}},
      {"late before the first probe", 700, 1100, {1600}},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    Play play;
    play.RunUntil(row.from);
    if (row.to > row.from) {
      play.StallUntil(row.to - 10);
    }
    play.RunUntil(2500);
    CHECK(play.unresponsive == row.unresponsive);
  }
}

// A byte that shows the opposite may lie unread after the gateway was late.
TEST_CASE("no VM is unresponsive while the gateway is late") {
  Play play;
  play.RunUntil(1600);
  CHECK(play.is_unresponsive());
  play.StallUntil(1900);
  CHECK_FALSE(play.is_unresponsive());
  for (play.now = 1900; play.now < 1950; play.now += 10) {
    play.probes.Tick(At(play.now));
    CHECK_FALSE(play.is_unresponsive());
  }
  play.now = 1990;
  play.RunUntil(2000);
  CHECK(play.is_unresponsive());
}

// Probes must cost nothing as long as targets work.
TEST_CASE("a target from which bytes come is not probed") {
  struct Row {
    std::int64_t pause_ms;  // between bytes
    std::size_t probes;     // in 10 s
  };
  const Row rows[] = {{20, 0}, {500, 0}, {990, 0}, {1100, 10}};
  for (const Row& row : rows) {
    CAPTURE(row.pause_ms);
    Play play;
    play.result = ProbeResult::kAnswered;
    play.probe_time = Milliseconds(10);
    while (play.now < 10'000) {
      play.RunUntil(play.now + row.pause_ms);
      play.Receive();
    }
    CHECK(play.begun.size() == row.probes);
    CHECK(play.unresponsive.empty());
  }
}

TEST_CASE("a target is probed four times a second at most") {
  for (const ProbeResult result :
       {ProbeResult::kAnswered, ProbeResult::kUnanswered,
        ProbeResult::kNoEvidence}) {
    for (const std::int64_t probe_ms : {10, 90, 250}) {
      CAPTURE(probe_ms);
      Play play;
      play.result = result;
      play.probe_time = Milliseconds(probe_ms);
      for (int i = 0; i < 20; ++i) {
        play.probes.OnSent(kTarget, At(0));
      }
      play.RunUntil(11'000);
      CHECK(play.begun.size() >= 30);
      CHECK(play.begun.size() <= 41);
      for (std::size_t i = 1; i < play.begun.size(); ++i) {
        CHECK(play.begun[i] - play.begun[i - 1] >= 250);
      }
    }
  }
}

TEST_CASE("a target is probed only while a request waits there") {
  Play play;
  play.probes.OnSent(kTarget, At(0));
  play.RunUntil(1600);
  CHECK(play.is_unresponsive());
  CHECK_FALSE(play.probes.OnEnded(kTarget, At(play.now)));
  CHECK(play.is_unresponsive());
  CHECK(play.probes.OnEnded(kTarget, At(play.now)));
  CHECK_FALSE(play.is_unresponsive());
  const std::size_t begun = play.begun.size();
  play.RunUntil(4000);
  CHECK(play.begun.size() == begun);
  // Nothing is remembered for the next request, and the result of a probe sent
  // for the last one does not count for it.
  play.probes.OnSent(kTarget, At(4000));
  play.RunUntil(4990);
  CHECK(play.begun.size() == begun);
  play.RunUntil(5490);
  CHECK_FALSE(play.is_unresponsive());
  play.RunUntil(5500);
  CHECK(play.is_unresponsive());
}

TEST_CASE("the result of a probe for an earlier request does not count") {
  TargetProbes probes{TargetProbesOptions{}};
  probes.OnSent(kTarget, At(0));
  Introduce(probes, kTarget, At(0));
  const auto earlier = probes.Tick(At(1000));
  REQUIRE(earlier.size() == 1);
  CHECK(probes.OnEnded(kTarget, At(1000)));
  probes.OnSent(kTarget, At(1010));
  probes.Tick(At(1900));
  const auto later = probes.Tick(At(2010));
  REQUIRE(later.size() == 1);
  CHECK(probes.OnProbeEnded(earlier.front(), ProbeResult::kUnanswered,
                            At(2100)) == VmChange::kNone);
  // The later probe is still in progress.
  CHECK(probes.Tick(At(2200)).empty());
  CHECK(probes.Tick(At(2300)).empty());
}

TEST_CASE("targets are judged one by one") {
  TargetProbes probes{TargetProbesOptions{}};
  probes.OnSent(kTarget, At(0));
  Introduce(probes, kTarget, At(0));
  probes.OnSent(kOther, At(0));
  Introduce(probes, kOther, At(0));
  probes.Tick(At(900));
  CHECK(probes.OnBytesReceived(kOther, At(950)) == VmChange::kNone);
  for (const std::int64_t began : {1000, 1250}) {
    probes.Tick(At(began - 50));
    const auto due = probes.Tick(At(began));
    REQUIRE(due.size() == 1);
    CHECK(due.front().target == kTarget);
    probes.Tick(At(began + 150));
    probes.OnProbeEnded(due.front(), ProbeResult::kUnanswered, At(began + 250));
  }
  CHECK(probes.IsUnresponsive(kTarget, At(1500)));
  CHECK_FALSE(probes.IsUnresponsive(kOther, At(1500)));
}

// Guards against callers who leave a frozen VM untold because the first request
// to its target was shorter than the probe that it caused.
TEST_CASE(
    "an answer after the request has ended shows that there is a sidecar") {
  TargetProbes probes{TargetProbesOptions{}};
  probes.OnSent(kTarget, At(0));
  const auto first = probes.Tick(At(0));
  REQUIRE(first.size() == 1);
  CHECK(probes.OnEnded(kTarget, At(1)));
  CHECK(probes.OnProbeEnded(first.front(), ProbeResult::kAnswered, At(3)) ==
        VmChange::kNone);
  probes.OnSent(kTarget, At(200));
  CHECK(probes.Tick(At(300)).empty());
  bool is_found = false;
  for (std::int64_t now = 400; now <= 1900; now += 100) {
    for (const auto& probe : probes.Tick(At(now))) {
      const VmChange change =
          probes.OnProbeEnded(probe, ProbeResult::kUnanswered, At(now + 50));
      is_found = is_found || change == VmChange::kUnresponsive;
    }
  }
  CHECK(is_found);
}

// Guards against callers that are cut off from healthy engines because there is
// no sidecar, or a firewall drops the probes.
TEST_CASE("a sidecar that never answered is no evidence against its VM") {
  TargetProbes probes{TargetProbesOptions{}};
  std::vector<std::int64_t> begun;
  std::optional<TargetProbes::DueProbe> open;
  probes.Tick(At(-100));
  probes.OnSent(kTarget, At(0));
  for (std::int64_t now = 0; now < 25'000; now += 50) {
    if (open.has_value() && now - begun.back() >= 250) {
      CHECK(probes.OnProbeEnded(*std::exchange(open, std::nullopt),
                                ProbeResult::kUnanswered,
                                At(now)) == VmChange::kNone);
    }
    for (const auto& probe : probes.Tick(At(now))) {
      open = probe;
      begun.push_back(now);
    }
    CHECK_FALSE(probes.IsUnresponsive(kTarget, At(now)));
  }
  CHECK(begun == std::vector<std::int64_t>{0, 10'000, 20'000});
}

TEST_CASE("short requests to a target without a sidecar cause few probes") {
  TargetProbes probes{TargetProbesOptions{}};
  std::size_t begun = 0;
  for (std::int64_t now = 0; now < 25'000; now += 100) {
    probes.OnSent(kTarget, At(now));
    for (const auto& probe : probes.Tick(At(now))) {
      ++begun;
      probes.OnProbeEnded(probe, ProbeResult::kNoEvidence, At(now));
    }
    probes.OnEnded(kTarget, At(now));
  }
  CHECK(begun == 3);
}

}  // namespace
}  // namespace bilberryspool::traffic
