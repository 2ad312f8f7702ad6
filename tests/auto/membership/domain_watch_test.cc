#include "libs/membership/domain_watch.h"

#include <doctest/doctest.h>

namespace bilberryspool::membership {
namespace {

TEST_CASE("a domain is unreachable if most of it is silent at once") {
  struct Row {
    const char* name;
    DomainEvidence evidence;
    bool reachable;
  };
  const Row rows[] = {
      {"no targets known", {0, 0, false}, true},
      {"one of six", {6, 1, false}, true},
      {"two of two, too few targets", {2, 2, false}, true},
      {"three of six", {6, 3, false}, false},
      {"a rack of a large domain", {443, 100, false}, true},
      {"most of a large domain", {443, 222, false}, false},
      {"its entries are silent", {6, 0, true}, false},
  };
  for (const Row& row : rows) {
    CAPTURE(row.name);
    DomainWatch watch({});
    watch.Update(FailureDomain("d"), row.evidence, TimeAt(Seconds(5)));
    CHECK(watch.State(FailureDomain("d")).reachable == row.reachable);
  }
}

TEST_CASE("targets still silent long after a partial return are dead") {
  DomainWatch watch({});
  const FailureDomain domain("d");
  CHECK_FALSE(watch.Update(domain, {6, 0, false}, TimeAt(Seconds(1))));
  CHECK(watch.Update(domain, {6, 6, false}, TimeAt(Seconds(5))));
  CHECK_FALSE(watch.Update(domain, {6, 6, false}, TimeAt(Seconds(500))));
  CHECK_FALSE(watch.Update(domain, {6, 3, false}, TimeAt(Seconds(501))));
  CHECK(watch.Update(domain, {6, 3, false}, TimeAt(Seconds(562))));
  CHECK(watch.State(domain).reachable);
}

}  // namespace
}  // namespace bilberryspool::membership
