// Tests when an order may be sent to a rank whose VM must not be frozen.

#include "libs/groups/order_guard.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <optional>
#include <vector>

namespace bilberryspool::groups {
namespace {

constexpr TimePoint kStart = TimeAt(Seconds(1000));

// Runs a guard against a rank that replies to its first, second, ... poll after
// the given times, or never.
struct Run {
  OrderGuard::Step end = OrderGuard::Step::kWait;
  Duration took{};
  std::uint32_t polls = 0;
  // Time since the poll that the rank last replied to was sent.
  std::optional<Duration> reply_age;
};

Run RunGuard(const std::vector<std::optional<Duration>>& reply_times) {
  constexpr Duration kTimeStep = Microseconds(500);
  struct Reply {
    TimePoint polled_at;
    TimePoint arrives;
  };
  OrderGuard guard;
  std::vector<Reply> replies;
  Run run;
  std::optional<TimePoint> last_replied_poll;
  for (TimePoint now = kStart; now < kStart + Seconds(1); now += kTimeStep) {
    for (const Reply& reply : replies) {
      if (reply.arrives == now) {
        guard.OnReply(reply.polled_at);
        last_replied_poll = reply.polled_at;
      }
    }
    OrderGuard::Step step = guard.Next(now);
    while (step == OrderGuard::Step::kPoll) {
      const auto reply_time = run.polls < reply_times.size()
                                  ? reply_times[run.polls]
                                  : std::nullopt;
      if (reply_time.has_value()) {
        replies.push_back({now, now + *reply_time});
      }
      ++run.polls;
      step = guard.Next(now);
    }
    if (step != OrderGuard::Step::kWait) {
      run.end = step;
      run.took = now - kStart;
      if (last_replied_poll.has_value()) {
        run.reply_age = now - *last_replied_poll;
      }
      return run;
    }
    CHECK(guard.wait_until() > now);
  }
  return run;
}

// Guards against an order to a VM that froze after its last reply: an order is
// only sent on a reply that just arrived.
TEST_CASE("an order follows a reply of its rank at once") {
  struct Row {
    const char* name;
    std::vector<std::optional<Duration>> reply_times;
    OrderGuard::Step end;
    std::uint32_t polls;
    Duration took;
  };
  constexpr auto kSend = OrderGuard::Step::kSend;
  constexpr auto kGiveUp = OrderGuard::Step::kGiveUp;
  const Row rows[] = {
      {"a quick reply", {Milliseconds(1)}, kSend, 1, Milliseconds(1)},
      {"no reply", {}, kGiveUp, 2, Milliseconds(30)},
      {"the first reply is lost",
       {std::nullopt, Milliseconds(2)},
       kSend,
       2,
       Milliseconds(17)},
      {"a slow reply is not relied on",
       {Milliseconds(12), Milliseconds(2)},
       kSend,
       2,
       Milliseconds(14)},
      {"a slow reply, then silence",
       {Milliseconds(12)},
       kGiveUp,
       3,
       Milliseconds(42)},
      {"a rank that always replies slowly gets its order",
       {Milliseconds(12), Milliseconds(13)},
       kSend,
       2,
       Milliseconds(25)},
      {"the first reply overtakes the second poll",
       {Milliseconds(16), Milliseconds(2)},
       kSend,
       3,
       Milliseconds(17)},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    const Run run = RunGuard(row.reply_times);
    CHECK(run.end == row.end);
    CHECK(run.polls == row.polls);
    CHECK(run.took == row.took);
  }
}

// Guards against an order to a VM that has been silent for long.
TEST_CASE(
    "no order follows a reply older than the round trip that brought it") {
  for (Duration first{}; first < Milliseconds(40); first += Milliseconds(1)) {
    for (Duration second{}; second < Milliseconds(40);
         second += Milliseconds(1)) {
      CAPTURE(first.count());
      CAPTURE(second.count());
      const Run run = RunGuard({first, second, std::nullopt, std::nullopt});
      if (run.end == OrderGuard::Step::kSend) {
        REQUIRE(run.reply_age.has_value());
        CHECK(*run.reply_age <= std::max(first, second));
      }
    }
  }
}

// Guards against a change of map that is given up because the node that polls
// the ranks lacks processor time and has not read their replies.
TEST_CASE("a rank is not silent because its poller was late") {
  constexpr Duration kLate = Milliseconds(80);
  OrderGuard guard;
  REQUIRE(guard.Next(kStart) == OrderGuard::Step::kPoll);
  const TimePoint late = kStart + kLate;
  CHECK(guard.Next(late) == OrderGuard::Step::kPoll);
  // The reply to the first poll lay unread; it is too old.
  guard.OnReply(kStart);
  CHECK(guard.Next(late) == OrderGuard::Step::kWait);
  guard.OnReply(late);
  CHECK(guard.Next(late + Milliseconds(2)) == OrderGuard::Step::kSend);
}

TEST_CASE("a silent rank is given up although its poller is always late") {
  constexpr Duration kLate = Milliseconds(80);
  OrderGuard guard;
  TimePoint now = kStart;
  int calls = 0;
  while (guard.Next(now) != OrderGuard::Step::kGiveUp && calls < 10) {
    now += kLate;
    ++calls;
  }
  CHECK(calls == 2);
}

}  // namespace
}  // namespace bilberryspool::groups
