// Tracks what a gateway may send to targets that declare a limit: the requests
// that a control node has granted or, if no control node answers, the gateway's
// share of the limit.
//
// Pure: events and `now` in, decisions out.

#ifndef LIBS_DECLARED_LIMITS_LIMIT_ACCOUNTS_H_
#define LIBS_DECLARED_LIMITS_LIMIT_ACCOUNTS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "libs/declared_limits/declared_limit.h"
#include "libs/declared_limits/limit_granter.h"
#include "libs/limits/token_bucket.h"

namespace bilberryspool::declared_limits {

struct LimitAccountsOptions {
  // Until a control node has divided a received limit, it is divided by the
  // number of known gateways, but at least by this number.
  std::uint64_t min_sharers = 7;
  // Granted requests expire after this time.
  Duration grant_lifetime = Milliseconds(400);
  // Burst of a share: the requests of this many seconds may be sent at once, in
  // addition to one request.
  double burst_s = 0.5;
  // Received limits are reported to control nodes for this long.
  Duration report_period = Seconds(3);
  // A received limit without a share from a control node expires after this
  // time.
  Duration retention = Seconds(60);
};

class LimitAccounts {
 public:
  explicit LimitAccounts(LimitAccountsOptions options) : options_(options) {}

  // An answer of the target declared a limit, or none. Returns whether that
  // differs from what was known.
  bool OnLimitReceived(const TargetRun& run,
                       std::optional<double> per_second,
                       TimePoint now);
  // Replaces all shares that the control node `source` reports.
  void Adopt(const std::string& source,
             const std::vector<LimitShare>& shares,
             TimePoint now);
  // Shares reported by unreachable control nodes count only if none is
  // reachable.
  void SetReachable(const std::string& source,
                    bool is_reachable,
                    TimePoint now);
  // Sets the number of known gateways.
  void SetGateways(std::uint64_t count) { gateways_ = count; }
  // Erases expired limits.
  void Tick(TimePoint now);

  // A control node has answered a grant request for the targets `asked`. From
  // now on only granted requests may be sent.
  void OnGranted(const std::vector<DeclaredLimit>& asked,
                 const GrantAnswer& answer,
                 TimePoint now);
  // No control node answers: from now on the shares apply.
  void OnGranterUnavailable() { has_granter_ = false; }
  // The limit that is applied to the target, for all gateways; nothing if it
  // has none.
  std::optional<double> LimitOf(const TargetRun& run) const;

  bool HasGrant(const TargetRun& run, TimePoint now) const;
  // Whether one more request may be sent now.
  bool MayTake(const TargetRun& run, TimePoint now) const {
    return accounts_.empty() || WaitFor(run, now) == Duration::zero();
  }
  // Accounts for one request that is sent.
  void Take(const TargetRun& run, TimePoint now);
  // Time until the next request may be sent, at most one day; zero if it may be
  // sent now.
  Duration WaitFor(const TargetRun& run, TimePoint now) const;
  bool IsLimited(const TargetRun& run) const;

  // Recently received limits, to be reported to control nodes.
  std::vector<LimitStatement> Statements(TimePoint now) const;
  std::size_t size() const { return accounts_.size(); }
  // Sum of all shares, in requests per second.
  double total_share() const;

 private:
  struct ReceivedLimit {
    Incarnation incarnation;
    std::optional<double> per_second;
    TimePoint at;
  };
  struct Source {
    bool is_reachable = true;
    std::map<TargetId, LimitShare> shares;
  };
  struct Account {
    Incarnation incarnation;
    double rate = 0.0;
    double limit = 0.0;  // for all gateways
    limits::TokenBucket bucket;
    // Expiry time of each granted request.
    std::deque<TimePoint> granted;
    // Time from which the control node expects to grant a request again.
    TimePoint available_at;
  };
  struct Allowance {
    Incarnation incarnation;
    double rate = 0.0;
    double limit = 0.0;
  };

  // The allowance that applies to the target; nothing if it has no limit.
  std::optional<Allowance> AllowanceOf(const TargetId& target) const;
  // The smallest reported share of the newest known run of the target.
  std::optional<LimitShare> SmallestShare(const TargetId& target) const;
  // Recomputes the account of the target.
  void Review(const TargetId& target, TimePoint now);
  const Account* Find(const TargetRun& run) const;

  LimitAccountsOptions options_;
  std::uint64_t gateways_ = 0;
  bool has_granter_ = false;
  std::map<TargetId, ReceivedLimit> received_limits_;
  std::map<std::string, Source> sources_;
  std::map<TargetId, Account> accounts_;
};

}  // namespace bilberryspool::declared_limits

#endif  // LIBS_DECLARED_LIMITS_LIMIT_ACCOUNTS_H_
