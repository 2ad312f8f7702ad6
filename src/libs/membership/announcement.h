// What an agent says of its target, and what an entry answers.

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

// In the order in which a target passes through them. kLeaving is final for
// one incarnation.
enum class TargetState { kJoining, kServing, kDraining, kLeaving };

// One process that claims an identity. Two live claimants of one target are
// settled by the greater key, which every entry computes alike: the one that
// started last wins, and `nonce` (random, drawn at start) breaks a tie.
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

// The full description of a target; sent when it changes or on request.
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
  std::uint32_t slots = 0;  // requests that may run at once
  Claim claim;
  bool checks_fencing = false;
  TargetState state = TargetState::kJoining;
  std::uint64_t sequence = 0;  // counts the changes within one claim

  // Later descriptions compare greater.
  std::tuple<Claim, std::uint64_t> order() const { return {claim, sequence}; }
  bool operator==(const Announcement&) const = default;
};

// Load as the engine reported it `age` ago; late by nature.
struct LoadReport {
  std::uint32_t running = 0;
  std::uint32_t queued = 0;
  double free_kv = 1.0;  // fraction of the KV cache that is free
  Duration step_time{};
  Duration age{};
  // How many requests the agent finds its engine able to run side by side; 0
  // where it doesn't say.
  std::uint32_t limit = 0;
};

// Sent often: still there, and the load. `sequence` is that of the
// announcement it stands for, so that an entry notices one it missed.
struct Heartbeat {
  TargetId target;
  Claim claim;
  std::uint64_t sequence = 0;
  std::uint64_t heartbeat_number = 0;  // counts the heartbeats of one claim
  LoadReport load;
  std::uint64_t entries_digest = 0;  // of the entries that the agent knows
};

// Answer of an entry to an announcement or a heartbeat.
struct AnnounceReply {
  bool wants_announcement = false;  // the entry lacks the description
  bool superseded = false;          // a greater claim holds the identity
  Claim known;                      // the claim that holds it
  std::uint64_t sequence = 0;       // of the description that the entry has
  Duration interval{};              // at which the agent should send heartbeats
  // The entries of the domain ("ip:port"); empty where the digest matched.
  std::vector<std::string> entries;
};

}  // namespace bilberryspool::membership

#endif  // LIBS_MEMBERSHIP_ANNOUNCEMENT_H_
