// What entries tell each other.
//
// Each entry numbers the news it is the first to hear (a heartbeat of an
// agent, a changed announcement) with its own counter. An exchange starts with
// the counters that the sender has reached for each origin; the answer holds
// only what lies above them. So news reaches each entry about once, and what
// was lost is noticed and filled by the next exchange.

#ifndef LIBS_MEMBERSHIP_GOSSIP_H_
#define LIBS_MEMBERSHIP_GOSSIP_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "libs/membership/announcement.h"

namespace bilberryspool::membership {

// One entry process.
struct EntryInfo {
  NodeId node;
  FailureDomain domain;
  std::string peer_address;
  Incarnation incarnation;
};

// A place in the news of one entry.
struct Stamp {
  NodeId origin;
  Incarnation incarnation;
  std::uint64_t count = 0;
};

// Sums over the targets of one service in one failure domain.
struct ServiceSummary {
  ServiceId service;
  std::uint32_t targets = 0;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
};

// What crosses the borders of a failure domain at large sizes.
struct DomainSummary {
  FailureDomain domain;
  std::uint64_t version = 0;
  Duration age{};  // since it was computed, without the time on the way
  std::uint32_t entries = 0;
  std::uint32_t targets = 0;
  std::vector<EntryInfo> contacts;  // a few live entries of the domain
  std::vector<ServiceSummary> services;
};

struct AnnouncementUpdate {
  Announcement announcement;
  Duration age{};  // since the target was heard
  Stamp stamp;
};

struct HeartbeatUpdate {
  TargetId target;
  Claim claim;
  std::uint64_t sequence = 0;
  std::uint64_t heartbeat_number = 0;
  Duration age{};  // since the agent was heard
  LoadReport load;
  bool suspected = false;  // the origin has since missed heartbeats
  Stamp stamp;
};

struct SummaryVersion {
  FailureDomain domain;
  std::uint64_t version = 0;
};

// Opens an exchange: what the sender already has.
struct GossipDigest {
  EntryInfo from;
  bool detail = true;         // false across domains at large sizes
  std::vector<Stamp> stamps;  // the highest seen of each origin
  std::vector<SummaryVersion> summaries;
};

// News that the receiver lacks. With `answer`, the receiver sends back what
// the sender lacks in turn.
struct GossipDelta {
  EntryInfo from;
  bool complete = true;  // false where the size limit cut it short
  bool detail = true;
  std::vector<EntryInfo> entries;
  std::vector<AnnouncementUpdate> announcements;
  std::vector<HeartbeatUpdate> heartbeats;
  std::vector<DomainSummary> summaries;
  std::vector<Stamp>
      complete_up_to;                // counters up to which this delta is whole
  std::vector<GossipDigest> answer;  // none or one
};

// Asks for descriptions of targets whose heartbeats came without them.
struct AnnouncementRequest {
  EntryInfo from;
  std::vector<TargetId> targets;
};

using PeerMessage =
    std::variant<GossipDigest, GossipDelta, AnnouncementRequest>;

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_GOSSIP_H_
