#include "plugins/control/recent_reports.h"

#include <doctest/doctest.h>

namespace bilberryspool::control {
namespace {

TEST_CASE("the newest reports are kept and their number is bounded") {
  RecentReports reports;
  const ServiceId service("s");
  for (std::size_t i = 0; i < RecentReports::kMaxRequests + 1; ++i) {
    const std::string text = std::to_string(i);
    reports.Add({service, RequestId(""), text});
    reports.Add({service, RequestId("r" + text), text});
  }
  const auto reasons = reports.reasons(service);
  REQUIRE(reasons.size() == RecentReports::kMaxReasonsPerService);
  CHECK(reasons.front() == std::to_string(RecentReports::kMaxRequests));
  CHECK_FALSE(reports.outcome(RequestId("r0")).has_value());
  CHECK(reports.outcome(RequestId("r1")) == "1");
  CHECK(reports.reasons(ServiceId("other")).empty());
}

}  // namespace
}  // namespace bilberryspool::control
