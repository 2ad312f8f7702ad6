// The part of RelayCall for what answers say about their target: limits for all
// callers, requested pauses, and whether it is about to terminate.

#include <algorithm>
#include <optional>
#include <string_view>

#include "libs/declared_limits/limit_codec.h"
#include "libs/net/http_status.h"
#include "libs/net/retry_after.h"
#include "libs/net/steady_time.h"
#include "plugins/gateway/relay_call.h"

namespace bilberryspool::gateway {

using net::SteadyNow;

namespace {

constexpr std::string_view kRetryAfter = "Retry-After";

}  // namespace

void RelayCall::ReadTargetState(const traffic::Choice& choice,
                                const net::HttpResponseHead& head) {
  // Another target answers at the address.
  if (head.status == net::status::kMisdirected) {
    return;
  }
  UpdateDeclaredLimit(choice, head);
  const auto id = head.headers.Find(state_.header_names.request_id);
  const bool is_for_other_request = id.has_value() && *id != head_.request_id;
  if (!is_for_other_request) {
    UpdateRequestedPause(choice, head);
    UpdateLeaving(choice, head);
  }
}

// An answer that is unsigned or from another target says nothing about the
// limit of this target.
void RelayCall::UpdateDeclaredLimit(const traffic::Choice& choice,
                                    const net::HttpResponseHead& head) {
  const traffic::HeaderNames& header_names = state_.header_names;
  const auto text = head.headers.Find(header_names.limit);
  const bool is_its_own =
      head.headers.Find(header_names.signature).has_value() ||
      head.headers.Find(header_names.not_executed).has_value();
  if (!text && !is_its_own) {
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

void RelayCall::UpdateRequestedPause(const traffic::Choice& choice,
                                     const net::HttpResponseHead& head) {
  if (head.status != net::status::kUnavailable) {
    return;
  }
  std::optional<Duration> pause;
  for (const net::HttpHeader& field : head.headers) {
    if (!net::EqualNames(field.name, kRetryAfter)) {
      continue;
    }
    const auto read = net::ReadRetryAfter(field.value);
    if (!read.has_value()) {
      send_log_ += " retry_after_unreadable";
      continue;
    }
    pause = std::max(pause.value_or(*read), *read);
  }
  if (!pause.has_value()) {
    return;
  }
  send_log_ += " retry_after_ms=" + std::to_string(*pause / Milliseconds(1));
  state_.metrics
      .CounterFor({"bilberryspool_pauses_requested_total",
                   "Answers of targets that asked for a pause"},
                  {{"service", service_.value()}})
      .Add();
  const bool is_new = state_.targets.OnPauseRequested(
      {choice.target, choice.incarnation}, *pause, SteadyNow());
  if (is_new) {
    state_.log.Info("A target asked for a pause.",
                    {{"target", choice.target.value()},
                     {"incarnation", choice.incarnation.value()},
                     {"ms", *pause / Milliseconds(1)},
                     {"id", head_.request_id}});
  }
}

void RelayCall::UpdateLeaving(const traffic::Choice& choice,
                              const net::HttpResponseHead& head) {
  if (head.headers.ValueOr(state_.header_names.leaving, "") != "1") {
    return;
  }
  send_log_ += " leaving";
  if (!state_.targets.OnLeaving({choice.target, choice.incarnation})) {
    return;
  }
  state_.metrics
      .CounterFor({"bilberryspool_leaving_targets_total",
                   "Targets whose answers said first that they leave"},
                  {{"service", service_.value()}})
      .Add();
  state_.log.Info("A target leaves, as its answer says.",
                  {{"target", choice.target.value()},
                   {"incarnation", choice.incarnation.value()},
                   {"id", head_.request_id}});
}

}  // namespace bilberryspool::gateway
