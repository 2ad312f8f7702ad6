#include "libs/spread/spread_codec.h"

#include <tuple>

#include "libs/membership/json_fields.h"
#include "libs/membership/message_fields.h"

namespace bilberryspool::spread {

using membership::Is;

template <Is<ConfigPoint> Self>
auto Fields(Self& s) {
  return std::tie(s.version, s.digest);
}

template <Is<DeltaStep> Self>
auto Fields(Self& s) {
  return std::tie(s.from, s.to, s.bytes);
}

template <Is<SpreadReport> Self>
auto Fields(Self& s) {
  return std::tie(s.version, s.nodes, s.in_force, s.lacking);
}

template <Is<SenderState> Self>
auto Fields(Self& s) {
  return std::tie(s.node, s.domain, s.have, s.newest_known, s.confirmed, s.age);
}

template <Is<DeltaMessage> Self>
auto Fields(Self& s) {
  return std::tie(s.sender, s.steps, s.relay);
}

template <Is<FullMessage> Self>
auto Fields(Self& s) {
  return std::tie(s.sender, s.at, s.bytes, s.relay);
}

template <Is<HaveMessage> Self>
auto Fields(Self& s) {
  return std::tie(s.sender, s.wants_newer, s.wants_full, s.entry_report,
                  s.domain_report);
}

namespace {

template <typename Struct>
std::optional<Struct> FromJson(const boost::json::value& value) {
  Struct decoded;
  if (!membership::internal::Decode(value, &decoded)) {
    return std::nullopt;
  }
  return decoded;
}

}  // namespace

boost::json::value ToJson(const DeltaMessage& message) {
  return membership::internal::Encode(message);
}

boost::json::value ToJson(const FullMessage& message) {
  return membership::internal::Encode(message);
}

boost::json::value ToJson(const HaveMessage& message) {
  return membership::internal::Encode(message);
}

std::optional<DeltaMessage> DeltaMessageFromJson(
    const boost::json::value& value) {
  return FromJson<DeltaMessage>(value);
}

std::optional<FullMessage> FullMessageFromJson(
    const boost::json::value& value) {
  return FromJson<FullMessage>(value);
}

std::optional<HaveMessage> HaveMessageFromJson(
    const boost::json::value& value) {
  return FromJson<HaveMessage>(value);
}

}  // namespace bilberryspool::spread
