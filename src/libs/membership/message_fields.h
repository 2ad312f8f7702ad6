// Order of the fields of each message on the wire. New fields must be added at
// the end, as readers ignore unknown trailing fields.

#ifndef LIBS_MEMBERSHIP_MESSAGE_FIELDS_H_
#define LIBS_MEMBERSHIP_MESSAGE_FIELDS_H_

#include <concepts>
#include <tuple>
#include <type_traits>

#include "libs/membership/announcement.h"
#include "libs/membership/gossip.h"
#include "libs/membership/json_fields.h"

namespace bilberryspool::membership {

template <typename Self, typename Struct>
concept Is = std::same_as<std::remove_const_t<Self>, Struct>;

template <Is<Claim> Self>
auto Fields(Self& s) {
  return std::tie(s.incarnation, s.nonce);
}

template <Is<Announcement> Self>
auto Fields(Self& s) {
  return std::tuple_cat(
      std::tie(s.target, s.node, s.domain, s.address, s.services, s.models,
               s.adapters, s.roles, s.slots, s.claim, s.checks_fencing,
               s.sequence),
      std::make_tuple(internal::EnumField{&s.kind, 1},
                      internal::EnumField{&s.state, 3}));
}

template <Is<LoadReport> Self>
auto Fields(Self& s) {
  return std::tuple_cat(
      std::tie(s.running, s.queued, s.limit, s.age),
      std::make_tuple(internal::Thousandths{&s.free_kv},
                      internal::InMicroseconds{&s.step_time}));
}

template <Is<Heartbeat> Self>
auto Fields(Self& s) {
  return std::tie(s.target, s.claim, s.sequence, s.heartbeat_number, s.load,
                  s.entries_digest);
}

template <Is<AnnounceReply> Self>
auto Fields(Self& s) {
  return std::tie(s.wants_announcement, s.superseded, s.known, s.sequence,
                  s.interval, s.entries);
}

template <Is<EntryInfo> Self>
auto Fields(Self& s) {
  return std::tie(s.node, s.domain, s.peer_address, s.incarnation);
}

template <Is<Stamp> Self>
auto Fields(Self& s) {
  return std::tie(s.origin, s.incarnation, s.count);
}

template <Is<ServiceSummary> Self>
auto Fields(Self& s) {
  return std::tie(s.service, s.targets, s.slots, s.running, s.queued);
}

template <Is<DomainSummary> Self>
auto Fields(Self& s) {
  return std::tie(s.domain, s.version, s.age, s.entries, s.targets, s.contacts,
                  s.services);
}

template <Is<SummaryVersion> Self>
auto Fields(Self& s) {
  return std::tie(s.domain, s.version);
}

// The stamps of updates are encoded separately, as many rows have few origins.
template <Is<AnnouncementUpdate> Self>
auto Fields(Self& s) {
  return std::tie(s.announcement, s.age);
}

template <Is<HeartbeatUpdate> Self>
auto Fields(Self& s) {
  return std::tie(s.target, s.claim, s.sequence, s.heartbeat_number, s.age,
                  s.load, s.suspected);
}

template <Is<GossipDigest> Self>
auto Fields(Self& s) {
  return std::tie(s.from, s.detail, s.stamps, s.summaries);
}

template <Is<GossipDelta> Self>
auto Fields(Self& s) {
  return std::tie(s.from, s.complete, s.detail, s.entries, s.announcements,
                  s.heartbeats, s.summaries, s.complete_up_to, s.answer);
}

template <Is<AnnouncementRequest> Self>
auto Fields(Self& s) {
  return std::tie(s.from, s.targets);
}

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_MESSAGE_FIELDS_H_
