#include <doctest/doctest.h>

#include <chrono>
#include <string>
#include <vector>

#include "libs/traffic/event_splitter.h"

namespace bilberryspool::traffic {
namespace {

TEST_CASE("only complete events are returned, however the bytes are split") {
  const std::string stream =
      "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid:3\ndata: c\n\n";
  for (std::size_t cut = 0; cut <= stream.size(); ++cut) {
    CAPTURE(cut);
    EventSplitter splitter;
    std::string passed = splitter.Take(stream.substr(0, cut));
    // What was returned ends with a complete event.
    CHECK((passed.empty() || passed.ends_with("\n")));
    passed += splitter.Take(stream.substr(cut));
    CHECK(passed == stream);
    CHECK(splitter.unfinished_bytes() == 0);
    REQUIRE(splitter.last_id().has_value());
    CHECK(*splitter.last_id() == "3");
  }
  EventSplitter splitter;
  std::string passed;
  for (const char byte : stream) {
    passed += splitter.Take({&byte, 1});
    CHECK((passed.empty() || passed.ends_with("\n")));
  }
  CHECK(passed == stream);
}

// Guards against a process that is busy with events that never end: each piece
// must cost the same, however much is pending.
TEST_CASE("the cost of a piece does not grow with what is pending") {
  EventSplitter splitter;
  const std::string piece(1024, 'a');
  constexpr std::size_t kPieces = 8192;
  const auto begun = std::chrono::steady_clock::now();
  for (std::size_t i = 0; i < kPieces; ++i) {
    REQUIRE(splitter.Take(piece).empty());
  }
  CHECK(std::chrono::steady_clock::now() - begun < std::chrono::seconds(5));
  CHECK(splitter.unfinished_bytes() == kPieces * piece.size());
}

// Guards against a caller that gets an incomplete event followed by another
// one. An engine stops in the middle of an event and another engine continues
// after the last complete one; the incomplete event must not have been
// forwarded.
TEST_CASE("an incomplete event is discarded with its run") {
  EventSplitter splitter;
  CHECK(splitter.Take("id: 1\ndata: a\n\nid: 2\nda") == "id: 1\ndata: a\n\n");
  EventSplitter continued = splitter;
  CHECK(continued.Take("ta\n\n") == "id: 2\ndata\n\n");
  CHECK(*splitter.last_id() == "1");
  splitter.DiscardUnfinished();
  CHECK(splitter.Take("id: 2\ndata: b\n\n") == "id: 2\ndata: b\n\n");
  CHECK(*splitter.last_id() == "2");
}

TEST_CASE("a stream without ids has no last id") {
  EventSplitter splitter;
  CHECK(splitter.Take("data: id: 7\n\n") == "data: id: 7\n\n");
  CHECK_FALSE(splitter.last_id().has_value());
}

}  // namespace
}  // namespace bilberryspool::traffic
