// Messages between the agent of a target and the entries.

#ifndef LIBS_MEMBERSHIP_ANNOUNCEMENT_H_
#define LIBS_MEMBERSHIP_ANNOUNCEMENT_H_

#include <compare>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"

namespace bilberryspool::membership {

enum class TargetKind { kEngine, kPlain };

// Lifecycle of a target, in this order. kLeaving is final for one incarnation.
enum class TargetState { kJoining, kServing, kDraining, kLeaving };

// Identifies the process that claims a target's identity. If two live processes
// claim the same target, the greater claim wins, so every entry decides alike:
// the process that started last wins, and `nonce`, drawn at random at the
// start, breaks ties.
struct Claim {
  Incarnation incarnation;
  std::uint64_t nonce = 0;

  std::strong_ordering operator<=>(const Claim& other) const {
    if (incarnation != other.incarnation) {
      return incarnation.value() <=> other.incarnation.value();
    }
    return nonce <=> other.nonce;
  }
  bool operator==(const Claim&) const = default;
};

// Full description of a target, sent when it changes or on request.
struct Announcement {
  TargetId target;
  NodeId node;
  FailureDomain domain;
  std::string address;  // "ip:port" of the agent
  TargetKind kind = TargetKind::kEngine;
  std::vector<ServiceId> services;
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  std::vector<std::string> roles;
  std::uint32_t slots = 0;  // maximum number of concurrent requests
  Claim claim;
  bool checks_fencing = false;
  TargetState state = TargetState::kJoining;
  std::uint64_t sequence = 0;  // number of changes within one claim

  // Later descriptions compare greater.
  std::tuple<Claim, std::uint64_t> order() const { return {claim, sequence}; }
  bool operator==(const Announcement&) const = default;
};

// Load that the engine reported `age` ago; it is always delayed.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  double free_kv = 1.0;  // fraction of the KV cache that is free
  Duration step_time{};
  Duration age{};
  // Number of concurrent requests that the engine can run according to the
  // agent; 0 if unknown.
  std::uint32_t limit = 0;
};

// Sent periodically as a sign of life and with the load. `sequence` is that of
// the current announcement, so that an entry detects one that it missed.
struct Heartbeat {
  TargetId target;
  Claim claim;
  std::uint64_t sequence = 0;
  std::uint64_t heartbeat_number = 0;  // increases within one claim
  LoadReport load;
  std::uint64_t entries_digest = 0;  // of the entries known to the agent
};

// Response of an entry to an announcement or a heartbeat.
struct AnnounceReply {
  bool wants_announcement = false;  // the entry does not have the description
  bool superseded = false;          // a greater claim holds the identity
  Claim known;                      // claim that holds the identity
  std::uint64_t sequence = 0;       // of the description known to the entry
  Duration interval{};              // requested heartbeat interval
  // Addresses ("ip:port") of the entries of the domain; empty if the digest
  // matched.
  std::vector<std::string> entries;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_ANNOUNCEMENT_H_
