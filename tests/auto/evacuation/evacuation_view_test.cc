#include <doctest/doctest.h>

#include "libs/evacuation/evacuation_view.h"

namespace bilberryspool::evacuation {
namespace {

const FailureDomain kNorth("north");

// Guards against a control node that has just restarted, or was cut off,
// undoing an evacuation.
TEST_CASE("a report of an older state has no effect") {
  EvacuationView view;
  CHECK(view.OnReported({4, {kNorth}}));
  CHECK_FALSE(view.OnReported({0, {}}));
  CHECK_FALSE(view.OnReported({3, {}}));
  CHECK_FALSE(view.OnReported({4, {kNorth}}));
  CHECK(view.IsEvacuated(kNorth));
  CHECK(view.OnReported({5, {}}));
  CHECK_FALSE(view.IsEvacuated(kNorth));
}

}  // namespace
}  // namespace bilberryspool::evacuation
