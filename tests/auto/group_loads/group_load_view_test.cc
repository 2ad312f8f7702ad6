#include <doctest/doctest.h>

#include <map>

#include "libs/base/random.h"
#include "libs/group_loads/group_load_view.h"

namespace bilberryspool::group_loads {
namespace {

const ServiceId kService("model");
const GroupId kFirst("g1");
const GroupId kSecond("g2");
constexpr TimePoint kStart = TimeAt(Seconds(50));

GroupLoad Load(const GroupId& group, std::uint32_t used, bool is_open = true) {
  return {group, kService, is_open, 100, {used / 2, used - used / 2}};
}

GroupLoadView MakeView() {
  GroupLoadView view{GroupLoadViewOptions{}};
  view.SetUsableShares({{kFirst, 1.0}, {kSecond, 1.0}});
  return view;
}

TEST_CASE("groups with more free room get more requests") {
  GroupLoadView view = MakeView();
  view.OnReported("leader", {Load(kFirst, 90), Load(kSecond, 60)}, kStart);
  std::map<GroupId, int> chosen;
  Random random(1);
  for (int i = 0; i < 1000; ++i) {
    ++chosen[view.Choose(kService, random.Fraction(), kStart).value()];
  }
  CHECK(chosen[kFirst] > 300);
  CHECK(chosen[kFirst] < 400);
  CHECK(view.FractionOf(kService, kStart) == doctest::Approx(0.75));
}

TEST_CASE("requests sent since the last report count") {
  GroupLoadView view = MakeView();
  view.OnReported("leader", {Load(kFirst, 50), Load(kSecond, 50)}, kStart);
  for (int i = 0; i < 50; ++i) {
    view.OnSent(kFirst);
  }
  CHECK(view.Choose(kService, 0.5, kStart) == kSecond);
  CHECK(view.FractionOf(kService, kStart) == doctest::Approx(0.75));
  view.OnReported("leader", {Load(kFirst, 50), Load(kSecond, 50)}, kStart);
  CHECK(view.FractionOf(kService, kStart) == doctest::Approx(0.5));
}

// Guards against requests to a broken group while another one serves.
TEST_CASE("a closed group, and one that refuses for a rank, get nothing") {
  GroupLoadView view = MakeView();
  view.OnReported("leader", {Load(kFirst, 0, false), Load(kSecond, 90)},
                  kStart);
  CHECK(view.Choose(kService, 0.0, kStart) == kSecond);
  CHECK(view.FractionOf(kService, kStart) == doctest::Approx(0.9));
  view.OnReported("leader", {Load(kFirst, 0), Load(kSecond, 90)}, kStart);
  view.OnGroupRefused(kFirst, kStart);
  CHECK(view.Choose(kService, 0.0, kStart) == kSecond);
  CHECK(view.IsOpen(kFirst, kStart) == false);
  CHECK(view.Choose(kService, 0.0, kStart + Milliseconds(500)) == kFirst);
}

// Guards against counting the room of a group in an evacuated failure domain.
TEST_CASE("only the usable part of a group counts as room") {
  GroupLoadView view = MakeView();
  view.OnReported("leader", {Load(kFirst, 0), Load(kSecond, 40)}, kStart);
  CHECK(view.FractionOf(kService, kStart) == doctest::Approx(0.2));
  view.SetUsableShares({{kSecond, 0.5}});
  CHECK(view.FractionOf(kService, kStart) == doctest::Approx(0.8));
  CHECK(view.Choose(kService, 0.0, kStart) == kSecond);
  view.SetUsableShares({});
  CHECK_FALSE(view.Choose(kService, 0.0, kStart).has_value());
}

// Guards against decisions on old loads while no leader reports, and on those
// of a node that does not lead any more.
TEST_CASE("old loads and those of a former leader are not used") {
  GroupLoadView view = MakeView();
  view.OnReported("old", {Load(kFirst, 90), Load(kSecond, 60)}, kStart);
  CHECK(view.HasSeveralGroups(kService, kStart));
  const TimePoint later = kStart + Seconds(2);
  CHECK_FALSE(view.FractionOf(kService, later).has_value());
  CHECK_FALSE(view.Choose(kService, 0.0, later).has_value());
  CHECK_FALSE(view.IsOpen(kFirst, later).has_value());
  view.OnReported("new", {Load(kFirst, 10), Load(kSecond, 10)}, later);
  view.OnReported("old", {}, later);
  CHECK(view.FractionOf(kService, later) == doctest::Approx(0.1));
}

}  // namespace
}  // namespace bilberryspool::group_loads
