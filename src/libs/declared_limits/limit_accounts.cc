#include "libs/declared_limits/limit_accounts.h"

#include <algorithm>
#include <set>

namespace bilberryspool::declared_limits {

namespace {

constexpr Duration kMaxWait = Seconds(24L * 3600);

}  // namespace

bool LimitAccounts::OnLimitReceived(const TargetRun& run,
                                    std::optional<double> per_second,
                                    TimePoint now) {
  const auto found = received_limits_.find(run.target);
  const bool is_known = found != received_limits_.end();
  const bool is_limited = accounts_.count(run.target) > 0;
  if (!per_second.has_value() && !is_known && !is_limited) {
    return false;
  }
  const bool is_late = is_known && run.incarnation < found->second.incarnation;
  if (is_late) {
    return false;
  }
  const bool is_changed = !is_known || found->second.per_second != per_second ||
                          found->second.incarnation != run.incarnation;
  received_limits_[run.target] = {run.incarnation, per_second, now};
  if (is_changed) {
    Review(run.target, now);
  }
  return is_changed;
}

void LimitAccounts::Adopt(const std::string& source,
                          const std::vector<LimitShare>& shares,
                          TimePoint now) {
  Source& reported = sources_[source];
  std::set<TargetId> changed;
  for (const auto& [target, share] : reported.shares) {
    changed.insert(target);
  }
  reported.shares.clear();
  for (const LimitShare& share : shares) {
    reported.shares.emplace(share.run.target, share);
    changed.insert(share.run.target);
  }
  for (const TargetId& target : changed) {
    Review(target, now);
  }
}

void LimitAccounts::SetReachable(const std::string& source,
                                 bool is_reachable,
                                 TimePoint now) {
  sources_[source].is_reachable = is_reachable;
  std::vector<TargetId> targets;
  for (const auto& [target, account] : accounts_) {
    targets.push_back(target);
  }
  for (const TargetId& target : targets) {
    Review(target, now);
  }
}

void LimitAccounts::Tick(TimePoint now) {
  std::vector<TargetId> erased;
  std::erase_if(received_limits_, [&](const auto& item) {
    const bool is_old = now - item.second.at > options_.retention;
    if (is_old) {
      erased.push_back(item.first);
    }
    return is_old;
  });
  for (const TargetId& target : erased) {
    Review(target, now);
  }
}

void LimitAccounts::OnGranted(const std::vector<DeclaredLimit>& asked,
                              const GrantAnswer& answer,
                              TimePoint now) {
  has_granter_ = true;
  for (const DeclaredLimit& target : asked) {
    const auto found = accounts_.find(target.run.target);
    if (found != accounts_.end()) {
      found->second.available_at = now + answer.wait;
    }
  }
  for (const Grant& grant : answer.grants) {
    const auto found = accounts_.find(grant.run.target);
    if (found == accounts_.end() ||
        found->second.incarnation != grant.run.incarnation) {
      continue;
    }
    found->second.granted.insert(found->second.granted.end(), grant.requests,
                                 now + options_.grant_lifetime);
  }
}

std::optional<double> LimitAccounts::LimitOf(const TargetRun& run) const {
  const Account* account = Find(run);
  return account == nullptr ? std::nullopt
                            : std::optional<double>(account->limit);
}

void LimitAccounts::Take(const TargetRun& run, TimePoint now) {
  const auto found = accounts_.find(run.target);
  if (found == accounts_.end() ||
      found->second.incarnation != run.incarnation) {
    return;
  }
  Account& account = found->second;
  // Also charges the share, which applies if no control node answers later.
  account.bucket.Charge(1.0, now);
  while (!account.granted.empty() && account.granted.front() <= now) {
    account.granted.pop_front();
  }
  if (!account.granted.empty()) {
    account.granted.pop_front();
  }
}

Duration LimitAccounts::WaitFor(const TargetRun& run, TimePoint now) const {
  const Account* account = Find(run);
  if (account == nullptr) {
    return Duration::zero();
  }
  if (HasGrant(run, now)) {
    return Duration::zero();
  }
  if (has_granter_) {
    constexpr Duration kSoon = Milliseconds(1);
    return std::max(account->available_at - now, kSoon);
  }
  if (account->rate <= 0.0) {
    return kMaxWait;
  }
  return std::min(account->bucket.WaitFor(1.0, now), kMaxWait);
}

// The requests granted last expire last.
bool LimitAccounts::HasGrant(const TargetRun& run, TimePoint now) const {
  const Account* account = Find(run);
  return account != nullptr && !account->granted.empty() &&
         account->granted.back() > now;
}

bool LimitAccounts::IsLimited(const TargetRun& run) const {
  return Find(run) != nullptr;
}

std::vector<LimitStatement> LimitAccounts::Statements(TimePoint now) const {
  std::vector<LimitStatement> statements;
  for (const auto& [target, received] : received_limits_) {
    if (now - received.at < options_.report_period) {
      statements.push_back({{target, received.incarnation},
                            received.per_second,
                            now - received.at});
    }
  }
  return statements;
}

double LimitAccounts::total_share() const {
  double sum = 0.0;
  for (const auto& [target, account] : accounts_) {
    sum += account.rate;
  }
  return sum;
}

const LimitAccounts::Account* LimitAccounts::Find(const TargetRun& run) const {
  const auto found = accounts_.find(run.target);
  const bool is_this =
      found != accounts_.end() && found->second.incarnation == run.incarnation;
  return is_this ? &found->second : nullptr;
}

std::optional<LimitShare> LimitAccounts::SmallestShare(
    const TargetId& target) const {
  const bool any_reachable =
      std::any_of(sources_.begin(), sources_.end(),
                  [](const auto& item) { return item.second.is_reachable; });
  std::optional<LimitShare> smallest;
  for (const auto& [name, source] : sources_) {
    const auto found = source.shares.find(target);
    if (found == source.shares.end() ||
        (any_reachable && !source.is_reachable)) {
      continue;
    }
    const LimitShare& share = found->second;
    const bool is_newer_run = smallest.has_value() &&
                              share.run.incarnation > smallest->run.incarnation;
    const bool is_smaller =
        smallest.has_value() &&
        share.run.incarnation == smallest->run.incarnation &&
        share.share < smallest->share;
    if (!smallest.has_value() || is_newer_run || is_smaller) {
      smallest = share;
    }
  }
  return smallest;
}

std::optional<LimitAccounts::Allowance> LimitAccounts::AllowanceOf(
    const TargetId& target) const {
  const auto share = SmallestShare(target);
  const auto found = received_limits_.find(target);
  const ReceivedLimit* received =
      found == received_limits_.end() ? nullptr : &found->second;
  const bool is_reported =
      share.has_value() &&
      (received == nullptr || share->run.incarnation >= received->incarnation);
  if (is_reported) {
    Allowance allowance{share->run.incarnation, share->share,
                        share->per_second};
    const bool has_lower = received != nullptr &&
                           received->incarnation == share->run.incarnation &&
                           received->per_second.has_value() &&
                           *received->per_second < share->per_second;
    if (has_lower) {
      allowance.rate *= *received->per_second / share->per_second;
      allowance.limit = *received->per_second;
    }
    return allowance;
  }
  if (received == nullptr || !received->per_second.has_value()) {
    return std::nullopt;
  }
  const auto sharers = std::max(gateways_, options_.min_sharers);
  return Allowance{received->incarnation,
                   *received->per_second / static_cast<double>(sharers),
                   *received->per_second};
}

void LimitAccounts::Review(const TargetId& target, TimePoint now) {
  const auto allowance = AllowanceOf(target);
  if (!allowance.has_value()) {
    accounts_.erase(target);
    return;
  }
  const double burst = 1.0 + allowance->rate * options_.burst_s;
  const auto found = accounts_.find(target);
  if (found != accounts_.end() &&
      found->second.incarnation == allowance->incarnation) {
    found->second.rate = allowance->rate;
    found->second.limit = allowance->limit;
    found->second.bucket.Configure(allowance->rate, burst, now);
    return;
  }
  Account account{allowance->incarnation,
                  allowance->rate,
                  allowance->limit,
                  limits::TokenBucket(allowance->rate, burst),
                  {},
                  now};
  // Starts without a burst, since requests sent just before count as well.
  account.bucket.Charge(burst, now);
  accounts_.insert_or_assign(target, account);
}

}  // namespace bilberryspool::declared_limits
