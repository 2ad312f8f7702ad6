// The part of RelayCall for limits that targets declare for all callers.

#include <algorithm>

#include "libs/declared_limits/limit_codec.h"
#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "plugins/gateway/relay_call.h"

namespace bilberryspool::gateway {

using net::SteadyNow;

namespace {

// Lower bound of the delay after which a caller is asked to retry.
constexpr Duration kMinRetryAfter = Milliseconds(100);

}  // namespace

// An answer that is unsigned or from another target says nothing about the
// limit of this target.
void RelayCall::UpdateDeclaredLimit(const traffic::Choice& choice,
                                    const net::HttpResponseHead& head) {
  const traffic::HeaderNames& header_names = state_.header_names;
  const auto text = head.headers.Find(header_names.limit);
  const bool is_its_own =
      head.headers.Find(header_names.signature).has_value() ||
      head.headers.Find(header_names.not_executed).has_value();
  if (head.status == net::status::kMisdirected || (!text && !is_its_own)) {
    return;
  }
  std::optional<double> limit;
  if (text.has_value()) {
    limit = declared_limits::ReadLimit(*text);
    if (!limit.has_value()) {
      send_log_ += " limit_unreadable";
      return;
    }
  }
  const bool is_changed = state_.targets.limits().OnLimitReceived(
      {choice.target, choice.incarnation}, limit, SteadyNow());
  if (is_changed) {
    state_.log.Info("A target's limit changed.",
                    {{"target", choice.target.value()},
                     {"per_second", limit.has_value() ? std::to_string(*limit)
                                                      : std::string("none")}});
  }
}

void RelayCall::RefuseFull() {
  const auto wait = state_.targets.TimeUntilWithinLimit(service_, SteadyNow());
  if (!wait.has_value()) {
    Refuse(RetryAfter(), "all targets full");
    return;
  }
  Refuse(std::clamp(*wait, kMinRetryAfter, RetryAfter()),
         "all targets have as much as their limits allow");
}

}  // namespace bilberryspool::gateway
