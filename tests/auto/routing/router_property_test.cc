#include <doctest/doctest.h>

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "auto/limits/seeds.h"
#include "libs/base/random.h"
#include "libs/routing/router.h"

namespace bilberryspool::routing {
namespace {

const ServiceId kServices[] = {ServiceId("drafter"), ServiceId("dispatch")};
const RoutingPolicy kPolicies[] = {RandomPolicy{}, LeastReportedPolicy{},
                                   TwoChoicesPolicy{}, ChosenPolicy{}};

// Feeds a Router with random events and keeps its own record of the targets and
// placements.
class Run {
 public:
  explicit Run(std::uint64_t seed)
      : random_(seed), router_(MakeOptions(seed), seed) {}

  void Step() {
    now_ += random_.Between(Duration(0), Milliseconds(500));
    const TargetId target("r" + std::to_string(random_.Below(8)));
    switch (random_.Below(12)) {
      case 0:
      case 1:
        See(target);
        return;
      case 2:
        views_.erase(target);
        router_.Handle(TargetRemoved{target}, now_);
        return;
      case 3:
        Configure();
        return;
      case 4:
        router_.Handle(CacheHint{target, random_.Below(4),
                                 random_.Chance(0.5) ? CacheState::kPresent
                                                     : CacheState::kEvicted},
                       now_);
        return;
      case 5:
      case 6:
      case 7:
        Finish();
        return;
      default:
        Choose();
    }
  }

 private:
  static RouterOptions MakeOptions(std::uint64_t seed) {
    RouterOptions options;
    options.policy = kPolicies[seed % 4];
    return options;
  }

  void See(const TargetId& target) {
    TargetView view;
    view.target = target;
    view.domain = FailureDomain(std::to_string(random_.Below(3)));
    for (const ServiceId& service : kServices) {
      if (random_.Chance(0.8)) {
        view.services.push_back(service);
      }
    }
    if (random_.Chance(0.7)) {
      view.adapters = {"tamil"};
    }
    view.slots = static_cast<std::uint32_t>(1 + random_.Below(4));
    view.state =
        static_cast<TargetState>(random_.Chance(0.6) ? 0 : random_.Below(4));
    view.load.running = static_cast<std::uint32_t>(random_.Below(6));
    view.load.age = random_.Between(Duration(0), Seconds(3));
    view.group_weight = random_.Chance(0.1) ? 0.0 : random_.Fraction();
    views_[target] = view;
    router_.Handle(TargetUpdated{view}, now_);
  }

  void Configure() {
    ConfigChanged config;
    placements_.clear();
    for (const ServiceId& service : kServices) {
      Placement placement{service, random_.Chance(0.5), {}};
      for (int i = 0; i < 8; ++i) {
        if (random_.Chance(0.6)) {
          placement.targets.emplace_back("r" + std::to_string(i));
        }
      }
      placements_[service] = placement;
      config.placements.push_back(placement);
    }
    router_.Handle(config, now_);
  }

  void Finish() {
    if (attempts_.empty()) {
      return;
    }
    const std::size_t index = random_.Below(attempts_.size());
    const AttemptId attempt = attempts_[index];
    if (random_.Chance(0.8)) {
      attempts_.erase(attempts_.begin() + static_cast<std::ptrdiff_t>(index));
    }
    if (random_.Chance(0.5)) {
      router_.Handle(FirstToken{attempt}, now_);
    }
    const auto outcome = static_cast<AttemptOutcome>(random_.Below(6));
    router_.Handle(AttemptFinished{attempt, outcome, std::nullopt}, now_);
  }

  void Choose() {
    RouteRequest request;
    request.service = kServices[random_.Below(2)];
    request.adapter = random_.Chance(0.3) ? "tamil" : "";
    request.prefix_hashes = {random_.Below(4), random_.Below(4)};
    request.own_domain = FailureDomain(std::to_string(random_.Below(3)));
    request.idempotent = random_.Chance(0.7);
    if (random_.Chance(0.3)) {
      request.excluded = {TargetId("r" + std::to_string(random_.Below(8)))};
    }
    const Choice choice = router_.Choose(request, now_);
    const Selected* selected = std::get_if<Selected>(&choice);
    if (selected == nullptr) {
      return;
    }
    CheckEligible(request, *selected);
    const AttemptId attempt(std::to_string(++ids_));
    attempts_.push_back(attempt);
    router_.Handle(AttemptStarted{attempt, selected->target, request.service,
                                  request.prefix_hashes},
                   now_);
  }

  void CheckEligible(const RouteRequest& request, const Selected& selected) {
    const auto contains = [](const auto& list, const auto& value) {
      return std::find(list.begin(), list.end(), value) != list.end();
    };
    REQUIRE(views_.contains(selected.target));
    const TargetView& view = views_[selected.target];
    const Placement& placement = placements_[request.service];
    REQUIRE(view.state == TargetState::kServing);
    REQUIRE(view.group_weight > 0.0);
    REQUIRE(contains(view.services, request.service));
    REQUIRE((placement.every_target ||
             contains(placement.targets, selected.target)));
    REQUIRE(
        (request.adapter.empty() || contains(view.adapters, request.adapter)));
    REQUIRE_FALSE(contains(request.excluded, selected.target));
    const HealthState state = router_.health().state(selected.target, now_);
    REQUIRE(state != HealthState::kEjected);
    REQUIRE((state != HealthState::kProbing || request.idempotent));
  }

  Random random_;
  Router router_;
  TimePoint now_ = TimeAt(Seconds(100));
  std::uint64_t ids_ = 0;
  std::map<TargetId, TargetView> views_;
  std::map<ServiceId, Placement> placements_;
  std::vector<AttemptId> attempts_;
};

// Guards against requests sent to a target that is draining, was removed or may
// not serve them. An index or estimate that outlives the announcement or
// configuration it was made from would cause this. Announcements, removals,
// configurations and attempts that end late or twice come in any order.
TEST_CASE("each chosen target is eligible at that moment") {
  ForEachSeed(400, [](std::uint64_t seed) {
    CAPTURE(seed);
    Run run(seed);
    for (int i = 0; i < 400; ++i) {
      run.Step();
    }
  });
}

}  // namespace
}  // namespace bilberryspool::routing
