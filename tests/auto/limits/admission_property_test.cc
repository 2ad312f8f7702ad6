#include <doctest/doctest.h>

#include <map>
#include <set>
#include <string>

#include "auto/limits/seeds.h"
#include "libs/base/random.h"
#include "libs/limits/admission.h"

namespace bilberryspool::limits {
namespace {

const ServiceId kServices[] = {ServiceId("drafter"), ServiceId("dispatch")};

// Feeds random events to an Admission and records the outcome of each request.
class Run {
 public:
  explicit Run(std::uint64_t seed)
      : random_(seed), admission_(MakeOptions(random_), seed) {}

  void Steps(int count) {
    for (int i = 0; i < count; ++i) {
      Advance(random_.Between(Duration(0), Milliseconds(60)));
      Step();
    }
  }

  void Drain() {
    while (admission_.queued(kServices[0]) + admission_.queued(kServices[1]) >
           0) {
      Advance(Milliseconds(100));
      Handle(Tick{});
    }
    for (const auto& [id, outcomes] : outcomes_) {
      CHECK(outcomes == 1);
    }
  }

 private:
  static AdmissionOptions MakeOptions(Random& random) {
    AdmissionOptions options;
    options.max_queued = 1 + random.Below(30);
    options.initial_run_time = random.Between(Milliseconds(10), Seconds(2));
    return options;
  }

  // Sends a Tick at each deadline on the way, as the program does.
  void Advance(Duration step) {
    const TimePoint end = now_ + step;
    while (true) {
      const auto next = admission_.next_deadline();
      if (!next.has_value() || *next > end) {
        break;
      }
      REQUIRE(*next > now_);
      now_ = *next;
      Handle(Tick{});
    }
    now_ = end;
  }

  void Step() {
    switch (random_.Below(10)) {
      case 0:
        Handle(CapacityChanged{kServices[random_.Below(2)], random_.Below(8)});
        return;
      case 1:
        Handle(LimitsChanged{{WorkspaceLimits{Workspace("0"), 2.0, 5.0, 3.0,
                                              500.0, 900.0, 3.0}}});
        return;
      case 2:
        Abandon();
        return;
      case 3:
      case 4:
      case 5:
        Finish();
        return;
      default:
        Arrive();
    }
  }

  void Arrive() {
    const AdmissionId id(++ids_);
    outcomes_[id] = 0;
    service_[id] = kServices[random_.Below(2)];
    Handle(RequestArrived{id, service_[id],
                          Workspace(std::to_string(random_.Below(5))),
                          static_cast<Priority>(random_.Below(3)),
                          now_ + random_.Between(Milliseconds(-10), Seconds(5)),
                          static_cast<std::uint32_t>(random_.Below(300))});
  }

  void Finish() {
    if (running_.empty()) {
      return;
    }
    const AdmissionId id = *running_.begin();
    running_.erase(id);
    Handle(RequestFinished{id, 100});
  }

  // Abandoning counts as the outcome of a request that was still queued.
  void Abandon() {
    if (ids_ == 0) {
      return;
    }
    const AdmissionId id(1 + random_.Below(ids_));
    if (outcomes_[id] == 0) {
      ++outcomes_[id];
    }
    running_.erase(id);
    Handle(RequestAbandoned{id});
  }

  void Handle(const AdmissionEvent& event) {
    if (const auto* changed = std::get_if<CapacityChanged>(&event)) {
      capacity_[changed->service] = changed->concurrent;
    }
    for (const AdmissionAction& action : admission_.Handle(event, now_)) {
      const Admit* admit = std::get_if<Admit>(&action);
      const AdmissionId id =
          admit != nullptr ? admit->id : std::get<Refuse>(action).id;
      REQUIRE(++outcomes_[id] == 1);
      if (admit != nullptr) {
        running_.insert(id);
        REQUIRE(RunningOf(service_[id]) <= capacity_[service_[id]]);
      } else {
        REQUIRE(std::get<Refuse>(action).retry_after >= Milliseconds(100));
      }
    }
    // Requests that expired by now were refused by now.
    const auto next = admission_.next_deadline();
    REQUIRE((!next.has_value() || *next > now_));
    for (const ServiceId& service : kServices) {
      REQUIRE(admission_.running(service) == RunningOf(service));
    }
  }

  std::size_t RunningOf(const ServiceId& service) const {
    std::size_t running = 0;
    for (const AdmissionId& id : running_) {
      running += service_.at(id) == service ? 1 : 0;
    }
    return running;
  }

  Random random_;
  Admission admission_;
  TimePoint now_ = TimeAt(Seconds(10));
  std::uint64_t ids_ = 0;
  std::map<AdmissionId, int> outcomes_;
  std::map<AdmissionId, ServiceId> service_;
  std::map<ServiceId, std::size_t> capacity_;
  std::set<AdmissionId> running_;
};

// Guards against outcomes that are lost, given twice or late, so that a caller
// gets no answer or two. Arrivals, completions, abandoned requests and changes
// of capacity and limits occur in any order; requests are shed, refused and
// admitted in the same step.
TEST_CASE("each request gets exactly one outcome, an expired one at once") {
  ForEachSeed(300, [](std::uint64_t seed) {
    CAPTURE(seed);
    Run run(seed);
    run.Steps(400);
    run.Drain();
  });
}

}  // namespace
}  // namespace bilberryspool::limits
