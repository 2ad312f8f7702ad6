// Round trips of the messages between control nodes and gateways, and invalid
// input.

#include <doctest/doctest.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <set>
#include <string>

#include "libs/traffic/target_codec.h"
#include "libs/traffic/watch_codec.h"

namespace bilberryspool::traffic {
namespace {

namespace json = boost::json;

TargetRecord MakeRecord() {
  TargetRecord record;
  record.announcement.target = TargetId("i-1");
  record.announcement.service = ServiceId("model");
  record.announcement.address = "10.0.0.1:80";
  record.announcement.domain = FailureDomain("z1");
  record.announcement.slots = 12;
  record.announcement.standing = Standing::kLeaving;
  record.announcement.sequence = 7;
  record.announcement.group = GroupMembership{GroupId("g"), 2, 3, 16, true};
  record.is_silent = true;
  return record;
}

WatchAnswer MakeAnswer() {
  WatchAnswer answer;
  answer.boot = 5;
  answer.revision = 6;
  answer.version = 7;
  answer.bytes = 13;
  answer.is_leader = true;
  answer.slow_revision = 8;
  answer.is_whole = true;
  answer.gateways = 9;
  answer.sharers = 8;
  answer.targets = PackTargets({MakeRecord()});
  answer.members = {"10.0.0.2:7000"};
  answer.slow_targets = {{"10.0.0.1:80", 2.5}};
  answer.quarantine_revision = 14;
  answer.is_quarantine_whole = false;
  quarantine::QuarantineRecord record;
  record.request = {1, 2};
  record.verdict = quarantine::Verdict::kRefused;
  answer.quarantine = {record};
  answer.limits_revision = 15;
  answer.group_loads_revision = 8;
  answer.seat = cold_targets::GatewaySeat{2, 5, true};
  answer.group_loads = {{GroupId("g1"), ServiceId("model"), true, 20, {0, 12}}};
  answer.evacuations = {4, {FailureDomain("z1"), FailureDomain("z2")}};
  answer.shares = {{{TargetId("t"), Incarnation(3)}, 5.0, 0.5}};
  answer.configuration = packing::PackedText{"{\"version\":7}"};
  return answer;
}

TEST_CASE("a watch query and its response survive encoding and decoding") {
  WatchQuery query;
  query.requester = "gateway-1";
  query.control_address = "10.0.0.9:7000";
  query.boot = 1;
  query.revision = 2;
  query.version = 3;
  query.was_leader = true;
  query.slow_revision = 4;
  query.quarantine_revision = 5;
  query.limits_revision = 6;
  query.group_loads_revision = 9;
  query.wants_seat = true;
  query.seat_count = 5;
  query.is_seat_confirmed = true;
  query.known_seat_count = 6;
  query.evacuation_revision = 3;
  query.limits = {{{TargetId("t"), Incarnation(3)}, 5.0, Milliseconds(7)}};
  query.wait = Milliseconds(900);
  query.wants_configuration = false;
  const auto asked = WatchQueryFromJson(ToJson(query));
  REQUIRE(asked.has_value());
  CHECK(asked->requester == "gateway-1");
  CHECK(asked->control_address == "10.0.0.9:7000");
  CHECK(asked->boot == 1);
  CHECK(asked->revision == 2);
  CHECK(asked->version == 3);
  CHECK(asked->was_leader);
  CHECK(asked->slow_revision == 4);
  CHECK(asked->quarantine_revision == 5);
  CHECK(asked->limits_revision == 6);
  CHECK(asked->group_loads_revision == 9);
  CHECK(asked->wants_seat);
  CHECK(asked->seat_count == 5);
  CHECK(asked->is_seat_confirmed);
  CHECK(asked->known_seat_count == 6);
  CHECK(asked->evacuation_revision == 3);
  REQUIRE(asked->limits.size() == 1);
  CHECK(asked->limits[0].run == query.limits[0].run);
  CHECK(asked->limits[0].per_second == 5.0);
  CHECK(asked->limits[0].age == Milliseconds(7));
  CHECK_FALSE(asked->wants_configuration);
  CHECK(asked->wait == Milliseconds(900));

  const auto answered =
      WatchAnswerFromJson(json::parse(json::serialize(ToJson(MakeAnswer()))));
  REQUIRE(answered.has_value());
  CHECK(answered->boot == 5);
  CHECK(answered->revision == 6);
  CHECK(answered->version == 7);
  CHECK(answered->bytes == 13);
  CHECK(answered->is_leader);
  CHECK(answered->is_whole);
  CHECK(answered->gateways == 9);
  CHECK(answered->sharers == 8);
  const auto targets = UnpackTargets(answered->targets);
  REQUIRE(targets.has_value());
  REQUIRE(targets->size() == 1);
  CHECK((*targets)[0].announcement == MakeRecord().announcement);
  CHECK((*targets)[0].is_silent);
  CHECK(answered->members == MakeAnswer().members);
  CHECK(answered->slow_targets == MakeAnswer().slow_targets);
  CHECK(answered->quarantine_revision == 14);
  CHECK_FALSE(answered->is_quarantine_whole);
  REQUIRE(answered->quarantine.has_value());
  REQUIRE(answered->quarantine->size() == 1);
  CHECK(answered->quarantine->front().request ==
        quarantine::RequestFingerprint{1, 2});
  CHECK(answered->limits_revision == 15);
  CHECK(answered->group_loads_revision == 8);
  CHECK(answered->seat == MakeAnswer().seat);
  CHECK(answered->group_loads == MakeAnswer().group_loads);
  CHECK(answered->evacuations == MakeAnswer().evacuations);
  REQUIRE(answered->shares.has_value());
  REQUIRE(answered->shares->size() == 1);
  CHECK(answered->shares->front().share == 0.5);
  CHECK(answered->configuration == MakeAnswer().configuration);
}

TEST_CASE("packed records survive unpacking; invalid texts are rejected") {
  for (const std::size_t count : {0U, 1U, 500U}) {
    CAPTURE(count);
    const std::vector<TargetRecord> records(count, MakeRecord());
    const auto read = UnpackTargets(PackTargets(records));
    REQUIRE(read.has_value());
    CHECK(read->size() == count);
  }
  for (const char* text : {"", "{}", "[1]", "[", "zstd:AAAA"}) {
    CAPTURE(text);
    CHECK_FALSE(UnpackTargets(packing::PackedText{text}).has_value());
  }
}

TEST_CASE("a response that lacks a required member is rejected") {
  const json::object whole = ToJson(MakeAnswer()).as_object();
  // Members that are only sent if they have changed.
  const std::set<std::string> optional = {"configuration", "group_loads",
                                          "quarantine", "seat", "shares"};
  for (const auto& member : whole) {
    CAPTURE(std::string(member.key()));
    json::object broken = whole;
    broken.erase(member.key());
    const bool is_optional = optional.count(std::string(member.key())) > 0;
    CHECK(WatchAnswerFromJson(broken).has_value() == is_optional);
  }
  for (const char* list : {"group_loads", "quarantine", "seat", "shares"}) {
    CAPTURE(std::string(list));
    json::object broken = whole;
    broken[list] = 1;
    CHECK_FALSE(WatchAnswerFromJson(broken).has_value());
  }
}

TEST_CASE("invalid input is rejected") {
  const char* const rows[] = {
      "null", "[]", "{}",
      R"({"boot":-1,"revision":0,"version":0,"was_leader":true,"wait_us":0})",
      R"({"boot":"1","revision":0,"version":0,"was_leader":1,"wait_us":0})"};
  for (const char* row : rows) {
    CAPTURE(row);
    CHECK_FALSE(WatchQueryFromJson(json::parse(row)).has_value());
    CHECK_FALSE(WatchAnswerFromJson(json::parse(row)).has_value());
    CHECK_FALSE(TargetRecordFromJson(json::parse(row)).has_value());
  }
  json::object record = ToJson(MakeRecord()).as_object();
  record["standing"] = 9;
  CHECK_FALSE(TargetRecordFromJson(record).has_value());
}

}  // namespace
}  // namespace bilberryspool::traffic
