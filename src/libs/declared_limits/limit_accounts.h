// What a gateway may send to targets that declare a limit: what a control node
// has granted, or where none answers, its share of the limit.
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
  // Until a control node has divided a limit that was heard here, as many
  // gateways are taken to share it as are known, and no fewer than this.
  std::uint64_t min_sharers = 7;
  // What is granted has to be used within this time.
  Duration grant_lifetime = Milliseconds(400);
  // So many seconds of a share may be sent at once, beside one request.
  double burst_s = 0.5;
  // How long what was heard here is told to control nodes.
  Duration report_period = Seconds(3);
  // What was heard here counts for so long without a control node's word.
  Duration retention = Seconds(60);
};

class LimitAccounts {
 public:
  explicit LimitAccounts(LimitAccountsOptions options) : options_(options) {}

  // An answer of the target declared a limit, or none. Returns whether that is
  // news here.
  bool OnLimitReceived(const TargetRun& run,
                       std::optional<double> per_second,
                       TimePoint now);
  // All shares that the control node `source` tells.
  void Adopt(const std::string& source,
             const std::vector<LimitShare>& shares,
             TimePoint now);
  // What is told by nodes that can't be reached counts only where none can.
  void SetReachable(const std::string& source,
                    bool is_reachable,
                    TimePoint now);
  // How many gateways there are.
  void SetGateways(std::uint64_t count) { gateways_ = count; }
  void Tick(TimePoint now);

  // A control node has answered a question for grants. From now on what may be
  // sent is what is granted.
  void OnGranted(const std::vector<DeclaredLimit>& asked,
                 const GrantAnswer& answer,
                 TimePoint now);
  // None answers: what may be sent is the share.
  void OnGranterUnavailable() { has_granter_ = false; }
  // What is gone by; nothing where the target declares no limit.
  std::optional<double> LimitOf(const TargetRun& run) const;

  bool HasGrant(const TargetRun& run, TimePoint now) const;
  // Whether one more request may be sent now.
  bool MayTake(const TargetRun& run, TimePoint now) const {
    return accounts_.empty() || WaitFor(run, now) == Duration::zero();
  }
  // One is sent.
  void Take(const TargetRun& run, TimePoint now);
  // Until the next may be sent, a day at most; zero where it may be now.
  Duration WaitFor(const TargetRun& run, TimePoint now) const;
  bool IsLimited(const TargetRun& run) const;

  // For the control nodes.
  std::vector<LimitStatement> Statements(TimePoint now) const;
  std::size_t size() const { return accounts_.size(); }
  // Requests a second that all shares together allow.
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
    // When each granted request expires.
    std::deque<TimePoint> granted;
    // When a control node said that there may be one.
    TimePoint available_at;
  };
  struct Allowance {
    Incarnation incarnation;
    double rate = 0.0;
    double limit = 0.0;
  };

  // What holds for the target; nothing where it is not limited.
  std::optional<Allowance> AllowanceOf(const TargetId& target) const;
  std::optional<LimitShare> SmallestShare(const TargetId& target) const;
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
