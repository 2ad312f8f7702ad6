#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "libs/traffic/event_splitter.h"

namespace bilberryspool::traffic {
namespace {

TEST_CASE("only whole events go on, however the bytes are cut") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    CAPTURE(cut);
    EventSplitter splitter;
    std::string passed = splitter.Take(stream.substr(0, cut));
    // What has gone on ends with an event.
    CHECK((passed.empty() || passed.ends_with("\n")));
    passed += splitter.Take(stream.substr(cut));
    CHECK(passed == stream);
    CHECK(splitter.unfinished().empty());
    REQUIRE(splitter.last_id().has_value());
    CHECK(*splitter.last_id() == "3");
  }
}

// Symptom: a caller gets half an event and then another one. Sequence: an
// engine stops in the middle of an event; another goes on behind the last
// whole one. Cause: the half event had been passed on.
TEST_CASE("half an event is forgotten with its run") {
  EventSplitter splitter;
  CHECK(splitter.Take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  CHECK(splitter.unfinished() == "id: 2\nda");
  CHECK(*splitter.last_id() == "1");
  splitter.DiscardUnfinished();
  CHECK(splitter.Take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(*splitter.last_id() == "2");
}

TEST_CASE("a stream without ids has none") {
  EventSplitter splitter;
  CHECK(splitter.Take("data: id: 7\n\n") == "data: id: 7\n\n");
  CHECK_FALSE(splitter.last_id().has_value());
}

}  // namespace
}  // namespace bilberryspool::traffic
