#include "libs/groups/message_codec.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <utility>

#include "libs/base/overloaded.h"
#include "libs/groups/json_reader.h"

namespace bilberryspool::groups {
namespace {

namespace json = boost::json;
using internal::JsonReader;

json::array Encode(const ViewId& id) {
  return {id.token.value(), id.sequence};
}

json::array Encode(const StepId& step) {
  return {step.view.token.value(), step.view.sequence, step.number};
}

json::array Encode(const Member& member) {
  return {member.rank.value(), member.incarnation.value()};
}

json::array Encode(const placement::ExpertKey& key) {
  return {key.layer.value(), key.expert.value()};
}

json::object Encode(const View& view) {
  json::array members;
  for (const Member& member : view.members) {
    members.emplace_back(member.rank.value());
    members.emplace_back(member.incarnation.value());
  }
  return {{"id", Encode(view.id)},
          {"map_version", view.map_version.value()},
          {"members", std::move(members)}};
}

json::object Encode(const char* kind, const OrderHeader& header) {
  return {{"kind", kind},
          {"group", header.group.value()},
          {"rank", header.rank.value()},
          {"incarnation", header.incarnation.value()},
          {"token", header.token.value()}};
}

OrderHeader DecodeHeader(JsonReader& reader) {
  OrderHeader header;
  header.group = GroupId(reader.Text("group"));
  header.rank = reader.Rank("rank");
  header.incarnation = reader.NumberAs<Incarnation>("incarnation");
  header.token = reader.NumberAs<FencingToken>("token");
  return header;
}

std::optional<Order> DecodeOrder(JsonReader& reader) {
  const std::string kind = reader.Text("kind");
  const OrderHeader header = DecodeHeader(reader);
  if (kind == "claim") {
    return ClaimOrder{header};
  }
  if (kind == "prepare") {
    View view = reader.ViewAt("view");
    auto map = std::make_shared<const placement::ExpertMap>(reader.Map("map"));
    return PrepareOrder{header, std::move(view), std::move(map)};
  }
  if (kind == "fetch") {
    const std::uint64_t grant = reader.Number("grant");
    return FetchOrder{header, grant, reader.Key("key")};
  }
  if (kind == "seal") {
    return SealOrder{header, reader.ViewIdAt("view")};
  }
  if (kind == "install") {
    const ViewId view = reader.ViewIdAt("view");
    return InstallOrder{header, view, reader.MaybeStep("finish")};
  }
  return std::nullopt;
}

std::optional<RankMessage> DecodeRankMessage(JsonReader& reader) {
  const std::string kind = reader.Text("kind");
  if (kind == "ready") {
    StepReady ready;
    ready.group = GroupId(reader.Text("group"));
    ready.from = reader.MemberAt("from");
    ready.leader = reader.MemberAt("leader");
    ready.step = reader.StepAt("step");
    ready.map_version = reader.NumberAs<MapVersion>("map_version");
    return ready;
  }
  if (kind == "go") {
    StepGo go;
    go.group = GroupId(reader.Text("group"));
    go.to = reader.MemberAt("to");
    go.step = reader.StepAt("step");
    go.map_version = reader.NumberAs<MapVersion>("map_version");
    go.ready_members = reader.SmallNumber("ready_members");
    return go;
  }
  return std::nullopt;
}

void PutOptional(json::object& out,
                 const char* name,
                 const std::optional<ViewId>& id) {
  if (id) {
    out[name] = Encode(*id);
  }
}

}  // namespace

json::value ToJson(const placement::ExpertMap& map) {
  json::array holders;
  for (std::uint32_t layer = 0; layer < map.layers(); ++layer) {
    for (std::uint32_t expert = 0; expert < map.experts(); ++expert) {
      json::array ranks;
      for (const RankIndex rank :
           map.holders({placement::LayerIndex(layer), ExpertIndex(expert)})) {
        ranks.emplace_back(rank.value());
      }
      holders.emplace_back(std::move(ranks));
    }
  }
  return json::object{{"layers", map.layers()},
                      {"experts", map.experts()},
                      {"holders", std::move(holders)}};
}

json::value ToJson(const MapRecord& record) {
  return json::object{{"version", record.version.value()},
                      {"chosen", ToJson(record.chosen)},
                      {"in_force", ToJson(record.in_force)}};
}

json::value ToJson(const Order& order) {
  return std::visit(
      Overloaded{
          [](const ClaimOrder& claim) { return Encode("claim", claim.header); },
          [](const PrepareOrder& prepare) {
            json::object out = Encode("prepare", prepare.header);
            out["view"] = Encode(prepare.view);
            out["map"] = ToJson(*prepare.map);
            return out;
          },
          [](const FetchOrder& fetch) {
            json::object out = Encode("fetch", fetch.header);
            out["grant"] = fetch.grant;
            out["key"] = Encode(fetch.key);
            return out;
          },
          [](const SealOrder& seal) {
            json::object out = Encode("seal", seal.header);
            out["view"] = Encode(seal.view);
            return out;
          },
          [](const InstallOrder& install) {
            json::object out = Encode("install", install.header);
            out["view"] = Encode(install.view);
            if (install.finish) {
              out["finish"] = Encode(*install.finish);
            }
            return out;
          },
      },
      order);
}

json::value ToJson(const RankStatus& status) {
  json::array awaited;
  for (const RankIndex rank : status.awaited) {
    awaited.emplace_back(rank.value());
  }
  json::array resident;
  for (const placement::ExpertKey& key : status.resident) {
    resident.emplace_back(key.layer.value());
    resident.emplace_back(key.expert.value());
  }
  json::object out{{"group", status.group.value()},
                   {"rank", status.rank.value()},
                   {"incarnation", status.incarnation.value()},
                   {"sequence", status.sequence},
                   {"token", status.token.value()},
                   {"last_grant", status.last_grant},
                   {"fetching", status.fetching},
                   {"usable", status.usable},
                   {"needs_view", status.needs_view},
                   {"state", static_cast<std::uint64_t>(status.state)},
                   {"last_step", Encode(status.last_step)},
                   {"awaited", std::move(awaited)},
                   {"resident", std::move(resident)}};
  PutOptional(out, "prepared", status.prepared);
  PutOptional(out, "sealed", status.sealed);
  PutOptional(out, "installed", status.installed);
  if (status.promised) {
    out["promised"] = Encode(*status.promised);
  }
  return out;
}

json::value ToJson(const RankMessage& message) {
  return std::visit(
      Overloaded{
          [](const StepReady& ready) {
            return json::object{{"kind", "ready"},
                                {"group", ready.group.value()},
                                {"from", Encode(ready.from)},
                                {"leader", Encode(ready.leader)},
                                {"step", Encode(ready.step)},
                                {"map_version", ready.map_version.value()}};
          },
          [](const StepGo& go) {
            return json::object{{"kind", "go"},
                                {"group", go.group.value()},
                                {"to", Encode(go.to)},
                                {"step", Encode(go.step)},
                                {"map_version", go.map_version.value()},
                                {"ready_members", go.ready_members}};
          },
      },
      message);
}

std::optional<placement::ExpertMap> ExpertMapFromJson(const json::value& json) {
  const json::value wrapped = json::object{{"map", json}};
  JsonReader reader(wrapped);
  placement::ExpertMap map = reader.Map("map");
  return reader.good() ? std::optional(std::move(map)) : std::nullopt;
}

std::optional<MapRecord> MapRecordFromJson(const json::value& json) {
  JsonReader reader(json);
  MapRecord record;
  record.version = reader.NumberAs<MapVersion>("version");
  record.chosen = reader.Map("chosen");
  record.in_force = reader.Map("in_force");
  return reader.good() ? std::optional(std::move(record)) : std::nullopt;
}

std::optional<Order> OrderFromJson(const json::value& json) {
  JsonReader reader(json);
  std::optional<Order> order = DecodeOrder(reader);
  return reader.good() ? order : std::nullopt;
}

std::optional<RankMessage> RankMessageFromJson(const json::value& json) {
  JsonReader reader(json);
  std::optional<RankMessage> message = DecodeRankMessage(reader);
  return reader.good() ? message : std::nullopt;
}

std::optional<RankStatus> RankStatusFromJson(const json::value& json) {
  JsonReader reader(json);
  RankStatus status;
  status.group = GroupId(reader.Text("group"));
  status.rank = reader.Rank("rank");
  status.incarnation = reader.NumberAs<Incarnation>("incarnation");
  status.sequence = reader.Number("sequence");
  status.token = reader.NumberAs<FencingToken>("token");
  status.prepared = reader.MaybeViewId("prepared");
  status.sealed = reader.MaybeViewId("sealed");
  status.installed = reader.MaybeViewId("installed");
  status.promised = reader.MaybeStep("promised");
  status.last_grant = reader.Number("last_grant");
  status.fetching = reader.Flag("fetching");
  status.usable = reader.Flag("usable");
  status.needs_view = reader.Flag("needs_view");
  const std::uint64_t state = reader.Number("state");
  if (state > static_cast<std::uint64_t>(GroupState::kOut)) {
    return std::nullopt;
  }
  status.state = static_cast<GroupState>(state);
  status.last_step = reader.StepAt("last_step");
  status.awaited = reader.Ranks("awaited");
  status.resident = reader.Keys("resident");
  return reader.good() ? std::optional(std::move(status)) : std::nullopt;
}

}  // namespace bilberryspool::groups
