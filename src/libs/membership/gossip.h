// Gossip messages between entries.
//
// The entry that receives an update from an agent (a heartbeat or a changed
// announcement) is its origin and stamps it with its own counter. An exchange
// starts with a digest of the counters up to which the sender has all updates
// of each origin; the response contains only updates above them. Each update
// thus reaches each entry about once, and the next exchange fills gaps left by
// lost messages.

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

// Position in the sequence of updates of one origin.
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

// Information about a failure domain that is sent to other domains in large
// deployments.
struct DomainSummary {
  FailureDomain domain;
  std::uint64_t version = 0;
  Duration age{};  // since it was computed, excluding network latency
  std::uint32_t entries = 0;
  std::uint32_t targets = 0;
  std::vector<EntryInfo> contacts;  // a few live entries of the domain
  std::vector<ServiceSummary> services;
};

struct AnnouncementUpdate {
  Announcement announcement;
  Duration age{};  // since the target was last seen
  Stamp stamp;
};

struct HeartbeatUpdate {
  TargetId target;
  Claim claim;
  std::uint64_t sequence = 0;
  std::uint64_t heartbeat_number = 0;
  Duration age{};  // since the agent was last seen
  LoadReport load;
  bool suspected = false;  // heartbeats to the origin are overdue
  Stamp stamp;
};

struct SummaryVersion {
  FailureDomain domain;
  std::uint64_t version = 0;
};

// Starts an exchange: the updates and summaries that the sender already has.
struct GossipDigest {
  EntryInfo from;
  bool detail = true;         // false between domains of large deployments
  std::vector<Stamp> stamps;  // complete up to these, one per origin
  std::vector<SummaryVersion> summaries;
};

// Updates that the receiver does not have. If `answer` has a digest, the
// receiver responds with the updates that the sender does not have.
struct GossipDelta {
  EntryInfo from;
  bool complete = true;  // false if truncated by the size limit
  bool detail = true;
  std::vector<EntryInfo> entries;
  std::vector<AnnouncementUpdate> announcements;
  std::vector<HeartbeatUpdate> heartbeats;
  std::vector<DomainSummary> summaries;
  std::vector<Stamp> complete_up_to;  // per origin, together with this delta
  std::vector<GossipDigest> answer;   // at most one
};

// Requests the descriptions of targets of which only heartbeats were received.
struct AnnouncementRequest {
  EntryInfo from;
  std::vector<TargetId> targets;
};

using PeerMessage =
    std::variant<GossipDigest, GossipDelta, AnnouncementRequest>;

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_GOSSIP_H_
