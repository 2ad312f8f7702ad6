// A control node's grants of single requests to targets that declare a limit.
//
// Shares that are fixed beforehand leave most of a limit unused: a gateway with
// little demand keeps what another one lacks, and a part of a request a second
// can't be saved up for the moment when a caller comes. So the limits of one
// service are granted request by request, by one control node, to whichever
// gateway has a caller. Where that node does not answer, a second one grants a
// part of the limit from an account of its own: both together stay within what
// a limit allows for bursts.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_DECLARED_LIMITS_LIMIT_GRANTER_H_
#define LIBS_DECLARED_LIMITS_LIMIT_GRANTER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

#include "libs/declared_limits/declared_limit.h"
#include "libs/declared_limits/limit_registry.h"
#include "libs/limits/token_bucket.h"

namespace bilberryspool::declared_limits {

// Targets of one service, any of which would do.
struct GrantRequest {
  // Each with the limit that the asker goes by.
  std::vector<DeclaredLimit> targets;
  std::uint32_t wanted = 1;
  // Whether this node is the asker's first choice among the control nodes.
  bool is_first_choice = true;
};

struct Grant {
  TargetRun run;
  std::uint32_t requests = 0;
};

struct GrantAnswer {
  // Empty: none now.
  std::vector<Grant> grants;
  // Where there are none: when the asker's caller may come back. Later for
  // each asker that was told so before.
  Duration wait{};
};

struct LimitGranterOptions {
  // Requests that may be granted at once: a number and so many seconds of the
  // limit. Callers don't come evenly; with fewer, some are refused while the
  // limit has room.
  double burst = 3.0;
  double burst_s = 0.5;
  // Part of a limit that is granted to those whose first choice is another.
  double second_choice_part = 0.25;
  // Requests a second that a target gets at least: only its answers tell that
  // it takes more again.
  double min_per_second = 0.25;
  // An account that nobody has asked of for so long is forgotten.
  Duration retention = Seconds(60);
  std::size_t max_accounts = 20'000;
};

class LimitGranter {
 public:
  explicit LimitGranter(LimitGranterOptions options) : options_(options) {}

  GrantAnswer Ask(const GrantRequest& request,
                  const LimitRegistry& registry,
                  TimePoint now);
  void Tick(TimePoint now);

  std::uint64_t granted() const { return granted_; }
  std::uint64_t denied() const { return denied_; }
  std::size_t size() const { return accounts_.size(); }

 private:
  struct Account {
    double rate = 0.0;
    limits::TokenBucket bucket;
    TimePoint last_asked_at;
    // Until then it is spoken for by callers that were told to come back.
    TimePoint reserved_until;
  };
  using Key = std::pair<TargetRun, bool>;  // the run, whether first choice

  Account* AccountOf(const DeclaredLimit& target,
                     bool is_first_choice,
                     const LimitRegistry& registry,
                     TimePoint now);
  static Duration ReserveNext(const std::vector<Account*>& accounts,
                              TimePoint now);

  LimitGranterOptions options_;
  std::map<Key, Account> accounts_;
  std::uint64_t granted_ = 0;
  std::uint64_t denied_ = 0;
};

}  // namespace bilberryspool::declared_limits

#endif  // LIBS_DECLARED_LIMITS_LIMIT_GRANTER_H_
