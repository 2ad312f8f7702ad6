#include "libs/limits/admission.h"

#include <doctest/doctest.h>

#include <set>

namespace bilberryspool::limits {
namespace {

const ServiceId kDrafter("drafter");
const TimePoint kStart = TimeAt(Seconds(10));

RequestArrived Arrival(std::uint64_t id,
                       const char* workspace,
                       TimePoint deadline,
                       Priority priority = Priority::kNormal) {
  return RequestArrived{AdmissionId(id), kDrafter, Workspace(workspace),
                        priority,        deadline, 100};
}

bool IsAdmitted(const std::vector<AdmissionAction>& actions, std::uint64_t id) {
  for (const AdmissionAction& action : actions) {
    const Admit* admit = std::get_if<Admit>(&action);
    if (admit != nullptr && admit->id == AdmissionId(id)) {
      return true;
    }
  }
  return false;
}

const Refuse* RefusalOf(const std::vector<AdmissionAction>& actions,
                        std::uint64_t id) {
  for (const AdmissionAction& action : actions) {
    const Refuse* refuse = std::get_if<Refuse>(&action);
    if (refuse != nullptr && refuse->id == AdmissionId(id)) {
      return refuse;
    }
  }
  return nullptr;
}

TEST_CASE("a queued request is admitted when another one finishes") {
  Admission admission(AdmissionOptions{}, 1);
  admission.Handle(CapacityChanged{kDrafter, 1}, kStart);
  const TimePoint deadline = kStart + Seconds(60);
  CHECK(IsAdmitted(admission.Handle(Arrival(1, "a", deadline), kStart), 1));
  CHECK(admission.Handle(Arrival(2, "a", deadline), kStart).empty());
  const auto actions = admission.Handle(RequestFinished{AdmissionId(1), 100},
                                        kStart + Milliseconds(500));
  CHECK(IsAdmitted(actions, 2));
}

// Guards against a caller that waits without an answer and is refused only near
// its deadline. This happens if a request is queued although the requests
// before it take longer than it can wait, and refusals depend on expiry instead
// of the expected wait.
TEST_CASE("a start that is too late is refused at once, with a later hint") {
  struct Row {
    Duration run_time;
    Duration deadline;
    std::uint64_t queued;
    bool refused;
  };
  const Row rows[] = {
      {Milliseconds(100), Seconds(60), 3, false},
      {Milliseconds(100), Seconds(60), 30, true},       // the wait is too long
      {Milliseconds(100), Milliseconds(150), 3, true},  // the deadline is near
      {Seconds(5), Seconds(4), 0, true}};  // it can't finish in time at all
  for (const Row& row : rows) {
    AdmissionOptions options;
    options.initial_run_time = row.run_time;
    Admission admission(options, 1);
    admission.Handle(CapacityChanged{kDrafter, 1}, kStart);
    admission.Handle(Arrival(1, "a", kStart + Seconds(60)), kStart);
    for (std::uint64_t i = 0; i < row.queued; ++i) {
      admission.Handle(Arrival(10 + i, "a", kStart + Seconds(60)), kStart);
    }
    const auto actions =
        admission.Handle(Arrival(99, "a", kStart + row.deadline), kStart);
    const Refuse* refusal = RefusalOf(actions, 99);
    REQUIRE((refusal != nullptr) == row.refused);
    if (refusal != nullptr) {
      CHECK(refusal->reason == RefusalReason::kDeadline);
      CHECK(refusal->retry_after >= Milliseconds(100));
    }
  }
}

// Guards against refused callers that return together after an overload, are
// refused again and prolong the overload. This happens if all are told the same
// short time, because the hint considers the queue alone and not the callers
// that wait outside it.
TEST_CASE("the hint grows with the arrivals that exceed the capacity") {
  Duration last{0};
  for (const std::uint64_t arrivals : {20, 100, 500}) {
    Admission admission(AdmissionOptions{}, 1);
    admission.Handle(CapacityChanged{kDrafter, 4}, kStart);
    std::vector<AdmissionAction> actions;
    for (std::uint64_t id = 1; id <= arrivals; ++id) {
      actions =
          admission.Handle(Arrival(id, "a", kStart + Seconds(60)), kStart);
    }
    const Refuse* refusal = RefusalOf(actions, arrivals);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->retry_after > last);
    last = refusal->retry_after;
  }
}

TEST_CASE("an entry with a wrong run time doesn't refuse permanently") {
  AdmissionOptions options;
  options.initial_run_time = Seconds(600);
  Admission admission(options, 1);
  admission.Handle(CapacityChanged{kDrafter, 1}, kStart);
  const auto actions =
      admission.Handle(Arrival(1, "a", kStart + Seconds(5)), kStart);
  CHECK(IsAdmitted(actions, 1));
}

TEST_CASE("limits of a workspace") {
  struct Row {
    WorkspaceLimits limits;
    RefusalReason reason;
  };
  const Workspace a("a");
  const Row rows[] = {
      {WorkspaceLimits{a, 1.0, 1.0, 2.0}, RefusalReason::kRequestRate},
      {WorkspaceLimits{a, 1.0, 0.0, 0.0, 10.0, 200.0},
       RefusalReason::kTokenBudget}};
  for (const Row& row : rows) {
    Admission admission(AdmissionOptions{}, 1);
    admission.Handle(CapacityChanged{kDrafter, 100}, kStart);
    admission.Handle(LimitsChanged{{row.limits}}, kStart);
    const TimePoint deadline = kStart + Seconds(60);
    for (const std::uint64_t id : {1, 2}) {
      CHECK(
          IsAdmitted(admission.Handle(Arrival(id, "a", deadline), kStart), id));
    }
    const auto actions = admission.Handle(Arrival(3, "a", deadline), kStart);
    const Refuse* refusal = RefusalOf(actions, 3);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->reason == row.reason);
    const TimePoint later = kStart + refusal->retry_after;
    CHECK(IsAdmitted(admission.Handle(Arrival(4, "a", deadline), later), 4));
    CHECK(IsAdmitted(admission.Handle(Arrival(5, "b", deadline), kStart), 5));
  }
}

TEST_CASE("concurrency of a workspace leaves the rest to others") {
  Admission admission(AdmissionOptions{}, 1);
  admission.Handle(CapacityChanged{kDrafter, 10}, kStart);
  WorkspaceLimits limits{Workspace("a")};
  limits.concurrent = 2.0;
  admission.Handle(LimitsChanged{{limits}}, kStart);
  for (std::uint64_t id = 1; id <= 5; ++id) {
    admission.Handle(Arrival(id, "a", kStart + Seconds(60)), kStart);
  }
  CHECK(admission.running(Workspace("a")) == 2);
  const auto actions =
      admission.Handle(Arrival(9, "b", kStart + Seconds(60)), kStart);
  CHECK(IsAdmitted(actions, 9));
}

TEST_CASE("a full queue sheds background work first") {
  AdmissionOptions options;
  options.max_queued = 2;
  Admission admission(options, 1);
  admission.Handle(CapacityChanged{kDrafter, 1}, kStart);
  const TimePoint deadline = kStart + Seconds(600);
  admission.Handle(Arrival(1, "a", deadline), kStart);
  admission.Handle(Arrival(2, "a", deadline, Priority::kBackground), kStart);
  admission.Handle(Arrival(3, "b", deadline, Priority::kBackground), kStart);
  const auto actions = admission.Handle(Arrival(4, "a", deadline), kStart);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<Refuse>(actions[0]).reason == RefusalReason::kShed);
  CHECK(admission.queued(kDrafter) == 2);
}

}  // namespace
}  // namespace bilberryspool::limits
