// Guards against a control node that is not used for a second and a half after
// it can be reached again.

#include "plugins/control_node/peer_contacts.h"

#include <doctest/doctest.h>

#include <vector>

namespace bilberryspool::control_node {
namespace {

constexpr Duration kInterval = Seconds(1);
constexpr Duration kTick = Milliseconds(25);
const net::Endpoint kNode{"10.0.0.1", 7600};

struct Row {
  const char* name;
  Duration failure_takes;  // until a poll of the unreachable node fails
};
constexpr Row kRows[] = {{"refused", Duration::zero()},
                         {"timed out", Milliseconds(500)}};

TEST_CASE("a node that can be reached again responds within half a second") {
  for (const Row& row : kRows) {
    for (Duration healed{}; healed < Seconds(3); healed += kTick) {
      CAPTURE(row.name);
      CAPTURE(healed.count());
      PeerContacts peers;
      const TimePoint start = TimeAt(Seconds(100));
      const TimePoint healed_at = start + healed;
      TimePoint fails_at{};
      bool is_failing = false;
      TimePoint now = start;
      while (peers.Responding(now).empty() && now < healed_at + Seconds(3)) {
        if (is_failing && now >= fails_at) {
          is_failing = false;
          peers.OnFailure(kNode);
        }
        if (peers.StartPoll(kNode, kInterval, now)) {
          if (now >= healed_at) {
            peers.OnResponse(kNode, now);
            break;
          }
          is_failing = true;
          fails_at = now + row.failure_takes;
        }
        now += kTick;
      }
      CHECK(now - healed_at <= Milliseconds(500) + kTick);
      CHECK(peers.Responding(now) == std::vector<net::Endpoint>{kNode});
    }
  }
}

TEST_CASE("a node that responds is polled once an interval") {
  PeerContacts peers;
  const TimePoint start = TimeAt(Seconds(100));
  int polls = 0;
  for (TimePoint now = start; now < start + Seconds(10); now += kTick) {
    if (peers.StartPoll(kNode, kInterval, now)) {
      ++polls;
      peers.OnResponse(kNode, now);
    }
    CHECK(peers.Responding(now).size() == 1);
  }
  CHECK(polls == 10);
}

TEST_CASE("a node is not polled again before its poll has ended") {
  PeerContacts peers;
  const TimePoint start = TimeAt(Seconds(100));
  CHECK(peers.StartPoll(kNode, kInterval, start));
  CHECK_FALSE(peers.StartPoll(kNode, kInterval, start + Seconds(2)));
  peers.OnFailure(kNode);
  CHECK(peers.StartPoll(kNode, kInterval, start + Seconds(2)));
}

TEST_CASE("a node that stops responding is no longer among those that do") {
  PeerContacts peers;
  const TimePoint start = TimeAt(Seconds(100));
  CHECK(peers.StartPoll(kNode, kInterval, start));
  peers.OnResponse(kNode, start);
  CHECK(peers.Responding(start + Seconds(1)).size() == 1);
  CHECK(peers.Responding(start + Seconds(2)).empty());
}

}  // namespace
}  // namespace bilberryspool::control_node
