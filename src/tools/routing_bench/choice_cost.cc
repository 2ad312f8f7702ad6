#include "tools/routing_bench/choice_cost.h"

#include <cstdint>
#include <cstdio>
#include <ctime>
#include <string>

#include "libs/limits/admission.h"
#include "libs/routing/router.h"

namespace bilberryspool::routing_bench {
namespace {

constexpr int kRequests = 20'000;

double CpuSeconds() {
  return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

double MicrosecondsPerRoutedRequest(std::uint32_t targets) {
  const ServiceId service("drafter");
  routing::Router router(routing::RouterOptions{}, 1);
  TimePoint now = TimeAt(Seconds(1));
  router.Handle(
      routing::ConfigChanged{{routing::Placement{service, true, {}}}, {}}, now);
  for (std::uint32_t i = 0; i < targets; ++i) {
    routing::TargetView view;
    view.target = TargetId("r" + std::to_string(i));
    view.domain = FailureDomain("d" + std::to_string(i % 3));
    view.services = {service};
    view.slots = 8;
    router.Handle(routing::TargetUpdated{view}, now);
  }
  routing::RouteRequest request;
  request.service = service;
  request.own_domain = FailureDomain("d0");
  request.prefix_hashes = {1, 2, 3};
  const double start = CpuSeconds();
  for (int i = 0; i < kRequests; ++i) {
    now += Milliseconds(1);
    const routing::Choice choice = router.Choose(request, now);
    const AttemptId attempt(std::to_string(i));
    router.Handle(
        routing::AttemptStarted{attempt,
                                std::get<routing::Selected>(choice).target,
                                service, request.prefix_hashes},
        now);
    router.Handle(routing::FirstToken{attempt}, now + Milliseconds(1));
    router.Handle(routing::AttemptFinished{attempt}, now + Milliseconds(1));
  }
  return (CpuSeconds() - start) * 1e6 / kRequests;
}

double MicrosecondsPerAdmittedRequest() {
  const ServiceId service("drafter");
  limits::Admission admission(limits::AdmissionOptions{}, 1);
  TimePoint now = TimeAt(Seconds(1));
  admission.Handle(limits::CapacityChanged{service, 100}, now);
  const double start = CpuSeconds();
  for (int i = 0; i < kRequests; ++i) {
    now += Milliseconds(1);
    const limits::AdmissionId id(static_cast<std::uint64_t>(i) + 1);
    admission.Handle(
        limits::RequestArrived{
            id, service, Workspace("w" + std::to_string(i % 100)),
            limits::Priority::kNormal, now + Seconds(20), 100},
        now);
    admission.Handle(limits::RequestFinished{id, 100}, now);
  }
  return (CpuSeconds() - start) * 1e6 / kRequests;
}

}  // namespace

void PrintChoiceCosts() {
  for (const std::uint32_t targets : {16U, 64U, 360U}) {
    std::printf("routed request, %u targets: %.2f us\n", targets,
                MicrosecondsPerRoutedRequest(targets));
  }
  std::printf("admitted request: %.2f us\n", MicrosecondsPerAdmittedRequest());
}

}  // namespace bilberryspool::routing_bench
