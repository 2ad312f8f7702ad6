#include <doctest/doctest.h>

#include <string>

#include "libs/evacuation/evacuation_registry.h"

namespace bilberryspool::evacuation {
namespace {

const FailureDomain kNorth("north");
const FailureDomain kSouth("south");

TEST_CASE("a domain is evacuated until that is withdrawn") {
  EvacuationRegistry registry;
  CHECK(registry.Apply({kNorth, true, 0}));
  CHECK(registry.IsEvacuated(kNorth));
  CHECK_FALSE(registry.IsEvacuated(kSouth));
  CHECK(registry.Apply({kSouth, true, 0}));
  CHECK(registry.state() == EvacuationState{2, {kNorth, kSouth}});
  CHECK(registry.Apply({kNorth, false, registry.RevisionOf(kNorth)}));
  CHECK(registry.state() == EvacuationState{3, {kSouth}});
}

// Guards against copies of an order that arrive after a later order was
// acknowledged.
TEST_CASE("a late copy of an order has no effect") {
  struct Row {
    std::string name;
    bool is_evacuation;
  };
  for (const Row& row :
       {Row{"of an evacuation", true}, Row{"of a withdrawal", false}}) {
    CAPTURE(row.name);
    EvacuationRegistry registry;
    if (!row.is_evacuation) {
      registry.Apply({kNorth, true, 0});
    }
    const std::uint64_t known = registry.RevisionOf(kNorth);
    const EvacuationChange order{kNorth, row.is_evacuation, known};
    REQUIRE(registry.Apply(order));
    REQUIRE(registry.Apply(
        {kNorth, !row.is_evacuation, registry.RevisionOf(kNorth)}));
    const EvacuationState before = registry.state();
    CHECK_FALSE(registry.Apply(order));
    CHECK(registry.state() == before);
  }
}

TEST_CASE("an order that changes nothing keeps the revision") {
  EvacuationRegistry registry;
  registry.Apply({kNorth, true, 0});
  CHECK_FALSE(registry.Apply({kNorth, true, registry.RevisionOf(kNorth)}));
  CHECK_FALSE(registry.Apply({kSouth, false, 0}));
  CHECK(registry.revision() == 1);
}

TEST_CASE("a registry is restored with its revisions") {
  EvacuationRegistry registry;
  registry.Apply({kNorth, true, 0});
  registry.Apply({kSouth, true, 0});
  registry.Apply({kSouth, false, 2});
  EvacuationRegistry read;
  REQUIRE(read.Import(registry.Export()));
  CHECK(read.state() == registry.state());
  CHECK(read.RevisionOf(kSouth) == 3);
  for (const char* text : {"", "{", "[]", R"({"revision":1})",
                           R"({"revision":1,"domains":[{}]})"}) {
    CAPTURE(text);
    CHECK_FALSE(read.Import(text));
  }
  CHECK(read.state() == registry.state());
}

TEST_CASE("changes are encoded and decoded") {
  const auto read =
      EvacuationRegistry::Decode(EvacuationRegistry::Encode({kNorth, true, 7}));
  REQUIRE(read.has_value());
  CHECK(read->domain == kNorth);
  CHECK(read->is_evacuated);
  CHECK(read->expected_revision == 7);
  const std::string long_name(kMaxDomainNameBytes + 1, 'x');
  CHECK_FALSE(EvacuationRegistry::Decode("").has_value());
  CHECK_FALSE(EvacuationRegistry::Decode(
                  EvacuationRegistry::Encode({FailureDomain(""), true, 0}))
                  .has_value());
  CHECK_FALSE(
      EvacuationRegistry::Decode(
          EvacuationRegistry::Encode({FailureDomain(long_name), true, 0}))
          .has_value());
}

// Guards against names of domains that fill the memory of the control nodes.
TEST_CASE("the number of records is bounded, and evacuations are kept") {
  EvacuationRegistry registry;
  registry.Apply({kNorth, true, 0});
  for (int i = 0; i < 1000; ++i) {
    const FailureDomain domain("d" + std::to_string(i));
    registry.Apply({domain, true, 0});
    registry.Apply({domain, false, registry.RevisionOf(domain)});
  }
  CHECK(registry.size() <= 256);
  CHECK(registry.IsEvacuated(kNorth));
}

}  // namespace
}  // namespace bilberryspool::evacuation
