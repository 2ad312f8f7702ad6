#include "plugins/callers/classify_filter.h"

#include <algorithm>

#include "libs/config/priority_spec.h"
#include "libs/config/workspace_spec.h"
#include "libs/net/http_status.h"

namespace bilberryspool::callers {

namespace {

constexpr Duration kConfigRetry = Seconds(2);
// Lowest levels of declared priorities that count as normal and as high.
constexpr std::uint32_t kNormalLevel = 1;
constexpr std::uint32_t kHighLevel = 2;

}  // namespace

std::optional<FinalAnswer> ClassifyFilter::Handle(RequestContext& context) {
  if (services_.configuration() == nullptr) {
    FinalAnswer answer =
        MakeRejection(net::status::kUnavailable, "no-configuration");
    answer.retry_after = kConfigRetry;
    return answer;
  }
  const std::string& target = context.exchange.request().target;
  const std::string_view path =
      std::string_view(target).substr(0, target.find('?'));
  const config::ServiceSpec* service = services_.Find(path, context.model);
  if (service == nullptr) {
    return MakeRejection(net::status::kNotFound, "unknown-service");
  }
  context.service = service->id;
  context.is_idempotent =
      context.requested_idempotent.value_or(service->idempotent);
  const Duration wanted = context.requested_timeout.value_or(
      service->deadline > Duration::zero() ? service->deadline
                                           : options_.default_deadline);
  context.deadline = context.arrived + std::min(wanted, options_.max_deadline);
  context.priority = PriorityOf(context);
  return std::nullopt;
}

limits::Priority ClassifyFilter::PriorityOf(
    const RequestContext& context) const {
  if (context.requested_priority.has_value()) {
    return *context.requested_priority;
  }
  const auto* workspace =
      services_.configuration()->Find<config::WorkspaceSpec>(
          context.key.workspace);
  if (workspace == nullptr || !workspace->default_priority.has_value()) {
    return limits::Priority::kNormal;
  }
  const auto* priority = services_.configuration()->Find<config::PrioritySpec>(
      *workspace->default_priority);
  if (priority == nullptr || priority->level == kNormalLevel) {
    return limits::Priority::kNormal;
  }
  return priority->level >= kHighLevel ? limits::Priority::kHigh
                                       : limits::Priority::kBackground;
}

}  // namespace bilberryspool::callers
