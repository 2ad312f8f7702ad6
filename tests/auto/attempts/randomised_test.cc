#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

#include "auto/attempts/cluster.h"
#include "libs/base/check.h"

namespace bilberryspool::attempts {
namespace {

constexpr std::size_t kEntries = 5;
constexpr std::size_t kAgents = 3;
// Used unless BILBERRYSPOOL_SEEDS is set; BILBERRYSPOOL_FIRST_SEED sets the
// first seed.
constexpr std::uint64_t kSeedsInCi = 300;
std::uint64_t current_seed = 0;

std::uint64_t FromEnvironment(const char* name, std::uint64_t otherwise) {
  const char* text = std::getenv(name);
  return text == nullptr ? otherwise : std::strtoull(text, nullptr, 10);
}

void ReportSeed(std::string_view what, const char* file, int line) {
  FAIL("invariant '" << std::string(what) << "' at " << file << ":" << line
                     << " with seed " << current_seed);
}

// One run of a cluster with random sends, options and faults, all derived from
// the seed.
class RandomRun {
 public:
  explicit RandomRun(std::uint64_t seed)
      : random_(seed), cluster_(Options(), kEntries, kAgents, seed) {}

  Cluster& cluster() { return cluster_; }

  void Run() {
    const std::size_t keys = 2 + random_.Below(5);
    for (std::size_t key = 0; key < keys; ++key) {
      PlanSends("k" + std::to_string(key));
    }
    const std::size_t faults = random_.Below(8);
    for (std::size_t i = 0; i < faults; ++i) {
      cluster_.network().At(random_.Between({}, Seconds(25)),
                            [this] { InjectFault(); });
    }
    cluster_.Advance(Seconds(310));
    cluster_.CheckAtEnd();
  }

 private:
  ClusterOptions Options() {
    ClusterOptions options;
    const bool lossy = random_.Chance(0.7);
    options.network.loss = lossy ? random_.Fraction() * 0.3 : 0;
    options.network.duplication = lossy ? random_.Fraction() * 0.3 : 0;
    options.network.slow = lossy ? random_.Fraction() * 0.1 : 0;
    options.transport_knows_copies = random_.Chance(0.5);
    options.agent_capacity = random_.Chance(0.3) ? 1 : 64;
    options.agent_records = random_.Chance(0.2) ? 3 : 50000;
    options.work = random_.Chance(0.2) ? Seconds(2) : Milliseconds(50);
    return options;
  }

  std::string AnyEntry() {
    return "e" + std::to_string(random_.Below(kEntries));
  }
  std::string AnyAgent() {
    return "a" + std::to_string(random_.Below(kAgents));
  }

  void PlanSends(const std::string& key) {
    const bool idempotent = random_.Chance(0.25);
    const bool asserts_first_send = random_.Chance(0.5);
    Duration at = random_.Between({}, Seconds(25));
    const std::size_t sends = 1 + random_.Below(4);
    for (std::size_t i = 0; i < sends; ++i) {
      const bool first = i == 0 && asserts_first_send;
      cluster_.network().At(
          at, [=, this] { cluster_.Send(key, AnyEntry(), idempotent, first); });
      const Duration gaps[] = {Milliseconds(2), Milliseconds(200), Seconds(8),
                               Seconds(90)};
      at += random_.Between(Microseconds(1), gaps[random_.Below(4)]);
    }
  }

  void InjectFault() {
    FakeNetwork& network = cluster_.network();
    const std::string entry = AnyEntry();
    const std::string agent = AnyAgent();
    const Duration pause = random_.Between(Milliseconds(5), Seconds(8));
    switch (random_.Below(7)) {
      case 0:
        cluster_.KillEntry(entry);
        network.At(pause, [=, this] { RestartEntry(entry); });
        return;
      case 1:
        cluster_.KillAgent(agent);
        network.At(pause, [=, this] { RestartAgent(agent); });
        return;
      case 2:
        cluster_.FreezeEntry(entry, random_.Chance(0.5));
        network.At(pause * (1 + random_.Below(20)),
                   [&network, entry] { network.Thaw(entry); });
        return;
      case 3:
        CutFor(pause, entry, AnyEntry());
        return;
      case 4:
        CutFor(pause, entry, agent);
        return;
      case 5:
        cluster_.gate(agent).StartDraining(network.ClockOf(agent));
        return;
      default:
        ChangeRosterOnce();
    }
  }

  void RestartEntry(const std::string& entry) {
    if (!cluster_.network().alive(entry)) {
      cluster_.RestartEntry(entry);
    }
  }

  void RestartAgent(const std::string& agent) {
    if (!cluster_.network().alive(agent)) {
      cluster_.RestartAgent(agent);
    }
  }

  void CutFor(Duration time, const std::string& a, const std::string& b) {
    FakeNetwork& network = cluster_.network();
    network.Cut(a, b);
    network.At(time, [&network, a, b] { network.Heal(a, b); });
  }

  void ChangeRosterOnce() {
    if (roster_changed_) {
      return;
    }
    roster_changed_ = true;
    cluster_.ChangeRoster(random_.Chance(0.5)
                              ? std::vector<std::string>{"e0", "e3", "e4"}
                              : std::vector<std::string>{"e1", "e2", "e3"});
  }

  Random random_;
  Cluster cluster_;
  bool roster_changed_ = false;
};

TEST_CASE("whatever fails, work that may not be repeated runs at most once") {
  const InvariantHandler before = SetInvariantHandler(&ReportSeed);
  std::size_t sends = 0;
  std::size_t kinds[3] = {};
  const std::uint64_t first = FromEnvironment("BILBERRYSPOOL_FIRST_SEED", 1);
  const std::uint64_t count =
      FromEnvironment("BILBERRYSPOOL_SEEDS", kSeedsInCi);
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    current_seed = seed;
    RandomRun run(seed);
    run.Run();
    sends += run.cluster().sends().size();
    for (const SendRecord& sent : run.cluster().sends()) {
      if (!sent.finals.empty()) {
        ++kinds[static_cast<std::size_t>(sent.finals[0].kind)];
      }
    }
    for (const std::string& fault : run.cluster().faults()) {
      FAIL("seed " << seed << ": " << fault);
    }
  }
  SetInvariantHandler(before);
  MESSAGE(sends << " sends: answered " << kinds[0] << ", not run " << kinds[1]
                << ", unknown " << kinds[2]);
}

TEST_CASE("without faults all requests are answered") {
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Cluster cluster({}, kEntries, kAgents, seed);
    for (int i = 0; i < 20; ++i) {
      const std::string entry = "e" + std::to_string(i % kEntries);
      cluster.Send("k" + std::to_string(i), entry, i % 2 == 0, false);
    }
    cluster.Advance(Seconds(10));
    cluster.CheckAtEnd();
    CHECK(cluster.faults().empty());
    for (const SendRecord& sent : cluster.sends()) {
      REQUIRE(sent.finals.size() == 1);
      CHECK(sent.finals[0].kind == FinalKind::kAnswered);
    }
  }
}

}  // namespace
}  // namespace bilberryspool::attempts
