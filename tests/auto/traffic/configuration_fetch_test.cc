#include "libs/traffic/configuration_fetch.h"

#include <doctest/doctest.h>

namespace bilberryspool::traffic {
namespace {

constexpr std::uint64_t kSmall = 20'000;
constexpr std::uint64_t kLarge = 600'000;
constexpr std::uint64_t kGateways = 39;

TimePoint At(std::int64_t ms) {
  return TimeAt(Seconds(100) + Milliseconds(ms));
}

ReportedConfiguration Reported(std::uint64_t version,
                               std::uint64_t bytes,
                               bool is_from_home_node) {
  return {version, bytes, kGateways, is_from_home_node};
}

ConfigurationFetch MakeFetch() {
  return ConfigurationFetch(ConfigurationFetchOptions{});
}

TEST_CASE("a small text is fetched once, from the first node that reports it") {
  ConfigurationFetch fetch = MakeFetch();
  CHECK(fetch.ShouldStart(Reported(5, kSmall, false), 4, At(0)));
  CHECK_FALSE(fetch.ShouldStart(Reported(5, kSmall, true), 4, At(10)));
}

TEST_CASE("a configuration in force is not fetched") {
  ConfigurationFetch fetch = MakeFetch();
  CHECK_FALSE(fetch.ShouldStart(Reported(4, kSmall, true), 4, At(0)));
  CHECK_FALSE(fetch.ShouldStart(Reported(3, kSmall, true), 4, At(0)));
}

// Guards against a gateway that uses an old configuration 2.5 s after the new
// one was confirmed. A text of half a megabyte is accepted and all gateways
// fetch it from the leader, because none waits for another node that has it
// too.
TEST_CASE("a large text is fetched from the gateway's own node") {
  ConfigurationFetch fetch = MakeFetch();
  CHECK_FALSE(fetch.ShouldStart(Reported(5, kLarge, false), 4, At(0)));
  CHECK(fetch.ShouldStart(Reported(5, kLarge, true), 4, At(120)));
}

TEST_CASE("the wait for the gateway's own node is limited") {
  ConfigurationFetch fetch = MakeFetch();
  CHECK_FALSE(fetch.ShouldStart(Reported(5, kLarge, false), 4, At(0)));
  CHECK_FALSE(fetch.ShouldStart(Reported(5, kLarge, false), 4, At(300)));
  CHECK(fetch.ShouldStart(Reported(5, kLarge, false), 4, At(400)));
}

// Guards against the same delay: a fetch counted as failed after 300 ms, so the
// text was requested up to six times.
TEST_CASE("a large text that is being fetched is not requested again") {
  ConfigurationFetch fetch = MakeFetch();
  CHECK(fetch.ShouldStart(Reported(5, kLarge, true), 4, At(0)));
  CHECK_FALSE(fetch.ShouldStart(Reported(5, kLarge, false), 4, At(500)));
  CHECK_FALSE(fetch.ShouldStart(Reported(5, kLarge, false), 4, At(1400)));
  // 0.3 s plus 600,000 bytes at 500,000 bytes per second.
  CHECK(fetch.ShouldStart(Reported(5, kLarge, false), 4, At(1500)));
}

TEST_CASE("a failed fetch is followed by another one") {
  ConfigurationFetch fetch = MakeFetch();
  CHECK(fetch.ShouldStart(Reported(5, kSmall, false), 4, At(0)));
  fetch.OnFailed();
  CHECK(fetch.ShouldStart(Reported(5, kSmall, false), 4, At(1)));
}

TEST_CASE("a newer text does not wait for an older one") {
  ConfigurationFetch fetch = MakeFetch();
  CHECK(fetch.ShouldStart(Reported(5, kLarge, true), 4, At(0)));
  CHECK(fetch.ShouldStart(Reported(6, kLarge, true), 4, At(50)));
  CHECK_FALSE(fetch.ShouldStart(Reported(5, kLarge, true), 4, At(60)));
}

}  // namespace
}  // namespace bilberryspool::traffic
