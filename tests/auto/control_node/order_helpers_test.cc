// Tests which node relays the orders about a held step.

#include "plugins/control_node/order_helpers.h"

#include <doctest/doctest.h>

namespace bilberryspool::control_node {
namespace {

const net::Endpoint kFirstNode{"10.0.0.1", 7000};
const net::Endpoint kSecondNode{"10.0.0.2", 7000};

// Guards against a group being stalled for 4 s. A VM relays the hold and
// freezes; the release takes the same path and is not answered, because one VM
// was used for both orders.
TEST_CASE("the release is not relayed by the node that relayed the hold") {
  OrderHelpers helpers;
  helpers.Set({kFirstNode, kSecondNode});
  for (int change = 0; change < 5; ++change) {
    const auto hold = helpers.Next();
    const auto release = helpers.Next();
    REQUIRE(hold.has_value());
    REQUIRE(release.has_value());
    CHECK(*hold != *release);
  }
}

TEST_CASE("a failed node is skipped until it is set again") {
  OrderHelpers helpers;
  helpers.Set({kFirstNode, kSecondNode});
  helpers.OnRelayed(kFirstNode, RelayResult::kHelperFailed);
  for (int i = 0; i < 3; ++i) {
    CHECK(helpers.Next() == kSecondNode);
  }
  helpers.OnRelayed(kSecondNode, RelayResult::kHelperFailed);
  CHECK_FALSE(helpers.Next().has_value());
  helpers.Set({kFirstNode});
  CHECK(helpers.Next() == kFirstNode);
}

// Guards against a freeze stalling the group for its whole length although
// other nodes could relay the hold. Two orders get no answer from an engine,
// both helpers are excluded for it, and the next hold goes through the VM
// beside the engine, which freezes. An engine's silence must not count against
// the node that relayed the order.
TEST_CASE("an engine that does not answer does not exclude the helper") {
  OrderHelpers helpers;
  helpers.Set({kFirstNode, kSecondNode});
  for (int i = 0; i < 6; ++i) {
    const auto helper = helpers.Next();
    REQUIRE(helper.has_value());
    helpers.OnRelayed(*helper, ClassifyRelayStatus(net::status::kBadGateway));
  }
  CHECK(helpers.Next().has_value());
}

TEST_CASE("a helper's status is classified") {
  struct Row {
    int status;
    RelayResult result;
  };
  const Row rows[] = {
      {0, RelayResult::kHelperFailed}, {200, RelayResult::kAnswered},
      {202, RelayResult::kAnswered},   {404, RelayResult::kHelperFailed},
      {409, RelayResult::kAnswered},   {502, RelayResult::kEngineSilent}};
  for (const Row& row : rows) {
    CAPTURE(row.status);
    CHECK(ClassifyRelayStatus(row.status) == row.result);
  }
}

TEST_CASE("there is no helper without other nodes") {
  OrderHelpers helpers;
  CHECK_FALSE(helpers.Next().has_value());
}

}  // namespace
}  // namespace bilberryspool::control_node
