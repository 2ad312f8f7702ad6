// Grants single requests to targets that declare a limit, at a control node.
//
// Fixed shares leave most of a limit unused: a gateway with little demand keeps
// what another one needs, and a fraction of a request per second can't be saved
// until a caller arrives. Therefore one control node grants the limits of a
// service request by request, to whichever gateway has a caller. If that node
// doesn't answer, a second one grants a part of the limit from a separate
// account. Both together stay within what the limit allows for bursts.
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

// A gateway's request for grants at any of the targets of one service.
struct GrantRequest {
  // Each with the limit that the requesting gateway applies.
  std::vector<DeclaredLimit> targets;
  // Number of requests to grant, over all targets.
  std::uint32_t wanted = 1;
  // Whether this control node is the first choice of the gateway.
  bool is_first_choice = true;
};

struct Grant {
  TargetRun run;
  std::uint32_t requests = 0;
};

struct GrantAnswer {
  // Empty if nothing is granted now.
  std::vector<Grant> grants;
  // If nothing is granted: time after which the caller may retry. Increases
  // with each denial, so that callers don't retry at the same time.
  Duration wait{};
};

struct LimitGranterOptions {
  // Burst: a number of requests plus the requests of `burst_s` seconds of the
  // limit. Callers arrive unevenly; with a smaller burst, some are refused
  // while the limit has room.
  double burst = 3.0;
  double burst_s = 0.5;
  // Part of a limit that is granted to gateways whose first choice is another
  // control node.
  double second_choice_part = 0.25;
  // Minimum rate per target, in requests per second: only answers of the target
  // show that it accepts more again.
  double min_per_second = 0.25;
  // An account is erased if it wasn't used for this long.
  Duration retention = Seconds(60);
  std::size_t max_accounts = 20'000;
};

class LimitGranter {
 public:
  explicit LimitGranter(LimitGranterOptions options) : options_(options) {}

  // Grants up to the wanted number of requests, each from the account with the
  // highest level.
  GrantAnswer Ask(const GrantRequest& request,
                  const LimitRegistry& registry,
                  TimePoint now);
  // Erases unused accounts.
  void Tick(TimePoint now);

  // Number of granted requests, and of answers without a grant.
  std::uint64_t granted() const { return granted_; }
  std::uint64_t denied() const { return denied_; }
  std::size_t size() const { return accounts_.size(); }

 private:
  struct Account {
    double rate = 0.0;
    limits::TokenBucket bucket;
    TimePoint last_asked_at;
    // Until this time the account is reserved for callers that were told to
    // retry.
    TimePoint reserved_until;
  };
  using Key = std::pair<TargetRun, bool>;  // the run, whether first choice

  // Nothing if there are too many accounts.
  Account* AccountOf(const DeclaredLimit& target,
                     bool is_first_choice,
                     const LimitRegistry& registry,
                     TimePoint now);
  // Reserves the next request and returns the time until then.
  static Duration ReserveNext(const std::vector<Account*>& accounts,
                              TimePoint now);

  LimitGranterOptions options_;
  std::map<Key, Account> accounts_;
  std::uint64_t granted_ = 0;
  std::uint64_t denied_ = 0;
};

}  // namespace bilberryspool::declared_limits

#endif  // LIBS_DECLARED_LIMITS_LIMIT_GRANTER_H_
