// Guards against stand-ins that write another format than the program reads.

#include "platform/outside_calls.h"

#include <doctest/doctest.h>

#include "platform/announcement_codec.h"
#include "platform/configuration_codec.h"

namespace bilberryspool::platform {
namespace {

TEST_CASE("a written configuration is parsed to an equal one") {
  traffic::TrafficConfiguration written;
  written.version = 7;
  for (const auto kind :
       {traffic::RequestKind::kIdempotent, traffic::RequestKind::kNonIdempotent,
        traffic::RequestKind::kStream}) {
    traffic::Route route;
    route.name = "r" + std::to_string(static_cast<int>(kind));
    route.host = "h.example";
    route.path_prefix = "/" + route.name + "/";
    route.kind = kind;
    route.splits = {{ServiceId("a"), 3}, {ServiceId("b"), 1}};
    route.attempts = 2;
    route.timeout = Milliseconds(2500);
    route.objective = Milliseconds(400);
    route.priority = 3;
    route.may_resume = kind == traffic::RequestKind::kStream;
    written.routes.push_back(route);
  }
  for (const char* name : {"a", "b"}) {
    written.services[ServiceId(name)].id = ServiceId(name);
  }
  written.has_workspaces = true;
  written.keys["k1"].workspace = Workspace("w1");
  written.keys["k2"].workspace = Workspace("w1");
  const auto outcome = ReadConfiguration(WriteConfiguration(written));
  REQUIRE(std::holds_alternative<traffic::TrafficConfiguration>(outcome));
  const auto& read = std::get<traffic::TrafficConfiguration>(outcome);
  CHECK(read.version == written.version);
  CHECK(read.routes == written.routes);
  CHECK(read.services.size() == written.services.size());
  CHECK(read.keys == written.keys);
  CHECK(read.has_workspaces);
}

TEST_CASE("a written announcement is parsed to an equal one") {
  traffic::TargetAnnouncement written;
  written.target = TargetId("i-1");
  written.service = ServiceId("a");
  written.address = "10.0.0.1:80";
  written.domain = FailureDomain("z1");
  written.slots = 8;
  written.sequence = 5;
  for (const auto standing :
       {traffic::Standing::kReady, traffic::Standing::kLeaving}) {
    written.standing = standing;
    CHECK(ReadAnnouncement(written.target, WriteAnnouncement(written)) ==
          written);
  }
}

}  // namespace
}  // namespace bilberryspool::platform
