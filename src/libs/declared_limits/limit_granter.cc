#include "libs/declared_limits/limit_granter.h"

#include <algorithm>

namespace bilberryspool::declared_limits {

GrantAnswer LimitGranter::Ask(const GrantRequest& request,
                              const LimitRegistry& registry,
                              TimePoint now) {
  std::vector<Account*> accounts;
  std::vector<Grant> grants;
  for (const DeclaredLimit& target : request.targets) {
    Account* account =
        AccountOf(target, request.is_first_choice, registry, now);
    if (account != nullptr) {
      accounts.push_back(account);
      grants.push_back({target.run, 0});
    }
  }
  for (std::uint32_t i = 0; i < request.wanted && !accounts.empty(); ++i) {
    const auto fullest = std::max_element(
        accounts.begin(), accounts.end(),
        [now](const Account* one, const Account* other) {
          return one->bucket.level(now) < other->bucket.level(now);
        });
    if ((*fullest)->bucket.level(now) < 1.0) {
      break;
    }
    (*fullest)->bucket.Charge(1.0, now);
    ++grants[static_cast<std::size_t>(fullest - accounts.begin())].requests;
    ++granted_;
  }
  std::erase_if(grants, [](const Grant& grant) { return grant.requests == 0; });
  GrantAnswer answer{std::move(grants), Duration::zero()};
  if (answer.grants.empty()) {
    ++denied_;
    answer.wait = ReserveNext(accounts, now);
  }
  return answer;
}

void LimitGranter::Tick(TimePoint now) {
  std::erase_if(accounts_, [&](const auto& item) {
    return now - item.second.last_asked_at > options_.retention;
  });
}

// Uses the known limit, or the gateway's if that is lower: the gateway may have
// learned of a change first.
LimitGranter::Account* LimitGranter::AccountOf(const DeclaredLimit& target,
                                               bool is_first_choice,
                                               const LimitRegistry& registry,
                                               TimePoint now) {
  const double known = registry.LimitOf(target.run).value_or(target.per_second);
  const double part = is_first_choice ? 1.0 : options_.second_choice_part;
  const double rate = part * std::max(std::min(known, target.per_second),
                                      options_.min_per_second);
  const double burst =
      std::max(1.0, part * options_.burst + rate * options_.burst_s);
  const Key key{target.run, is_first_choice};
  const auto found = accounts_.find(key);
  if (found != accounts_.end()) {
    Account& account = found->second;
    if (account.rate != rate) {
      account.rate = rate;
      account.bucket.Configure(rate, burst, now);
    }
    account.last_asked_at = now;
    return &account;
  }
  if (accounts_.size() >= options_.max_accounts) {
    return nullptr;
  }
  Account account{rate, limits::TokenBucket(rate, burst), now, now};
  // Starts without a burst, since requests sent just before count as well.
  account.bucket.Charge(burst, now);
  return &accounts_.emplace(key, account).first->second;
}

// Chooses the account that is available first, and reserves it for the time of
// one request.
Duration LimitGranter::ReserveNext(const std::vector<Account*>& accounts,
                                   TimePoint now) {
  Account* soonest = nullptr;
  TimePoint soonest_at;
  for (Account* account : accounts) {
    const TimePoint available_at = std::max(
        now + account->bucket.WaitFor(1.0, now), account->reserved_until);
    if (soonest == nullptr || available_at < soonest_at) {
      soonest = account;
      soonest_at = available_at;
    }
  }
  if (soonest == nullptr) {
    return Seconds(1);
  }
  constexpr double kMicrosecondsPerSecond = 1e6;
  soonest->reserved_until =
      soonest_at + Microseconds(static_cast<std::int64_t>(
                       kMicrosecondsPerSecond / soonest->rate));
  return soonest_at - now;
}

}  // namespace bilberryspool::declared_limits
