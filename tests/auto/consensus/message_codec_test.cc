#include "libs/consensus/message_codec.h"

#include <doctest/doctest.h>
#include <boost/json.hpp>

namespace bilberryspool::consensus {
namespace {

std::string AllBytes() {
  std::string bytes;
  for (int i = 0; i < 256; ++i) {
    bytes.push_back(static_cast<char>(i));
  }
  return bytes;
}

Message MessageWith(MessageBody body) {
  const MemberId a{NodeId("sahab-1"), ReplicaIdentity(UINT64_MAX)};
  const MemberId b{NodeId("marka-1"), ReplicaIdentity(2)};
  return {a, b, ClusterId(1), RecoveryEpoch(2), Term(3), std::move(body)};
}

std::vector<MessageBody> OneOfEach() {
  const MemberId a{NodeId("a"), ReplicaIdentity(1)};
  const Membership membership{{a}, {a}, {{a, a}, {a, std::nullopt}}};
  const Append append{LogIndex(7),
                      Term(2),
                      LogIndex(6),
                      {{LogIndex(8), Term(2), Command{AllBytes()}},
                       {LogIndex(9), Term(3), NoOp{}},
                       {LogIndex(10), Term(3), membership}},
                      -5};
  return {PreVote{LogIndex(1), Term(1)},
          PreVoteReply{Term(4), true},
          Vote{LogIndex(1), Term(1), true},
          VoteReply{true},
          append,
          AppendReply{true, LogIndex(3), LogIndex(4), LogIndex(5), LogIndex(6)},
          InstallSnapshot{LogIndex(3), Term(2), membership, 4, 9, "\xffz"},
          InstallSnapshotReply{LogIndex(3), 9, true, 1},
          TimeoutNow{},
          Hello{4, {NodeId("a")}},
          HelloReply{4, true, {NodeId("a"), NodeId("b")}},
          Superseded{},
          Regressed{}};
}

TEST_CASE("every message is decoded as it was encoded") {
  REQUIRE(OneOfEach().size() == std::variant_size_v<MessageBody>);
  for (const MessageBody& body : OneOfEach()) {
    const std::string text = boost::json::serialize(ToJson(MessageWith(body)));
    const auto read = MessageFromJson(boost::json::parse(text));
    REQUIRE(read);
    CHECK(read->body.index() == body.index());
    CHECK(boost::json::serialize(ToJson(*read)) == text);
  }
}

TEST_CASE("the bytes of a log entry are decoded as they were encoded") {
  const LogEntry entry{LogIndex(8), Term(2), Command{AllBytes()}};
  const std::string text = boost::json::serialize(ToJson(entry));
  CHECK(LogEntryFromJson(boost::json::parse(text)) == entry);
}

TEST_CASE("malformed messages are rejected") {
  const std::string good =
      boost::json::serialize(ToJson(MessageWith(VoteReply{true})));
  const std::string bad[] = {
      "null",
      "[]",
      "{}",
      R"({"from":1})",
      good.substr(0, good.find("\"body\"")) + R"("body":{"kind":"other"}})",
      good.substr(0, good.find("\"body\"")) + R"("body":{"kind":"append"}})"};
  for (const std::string& text : bad) {
    CHECK_FALSE(MessageFromJson(boost::json::parse(text)));
  }
}

TEST_CASE("a heartbeat is small") {
  const Append heartbeat{LogIndex(100000), Term(12), LogIndex(100000), {}, 1};
  const std::string text =
      boost::json::serialize(ToJson(MessageWith(heartbeat)));
  MESSAGE("heartbeat: " << text.size() << " bytes");
  CHECK(text.size() < 400);
}

}  // namespace
}  // namespace bilberryspool::consensus
