#include "plugins/operators/effective_offer.h"

#include "libs/config/target_selector.h"

namespace bilberryspool::operators {

namespace {

std::optional<std::string> FindDrain(
    const membership::Announcement& announcement,
    const config::Configuration& configuration) {
  const auto& drains = configuration.table<config::DrainSpec>();
  const config::TargetSelector selectors[] = {
      announcement.target, announcement.domain, config::AnyTarget()};
  for (const config::TargetSelector& selector : selectors) {
    const auto found = drains.find(selector);
    if (found != drains.end()) {
      return config::ToString(selector) + " by " +
             found->second.modified_by.value() + " at version " +
             std::to_string(found->second.modified_at.value());
    }
  }
  return std::nullopt;
}

}  // namespace

EffectiveOffer EffectiveOfferOf(const membership::TargetView& view,
                                const config::Configuration& configuration) {
  const std::string liveness_reason = membership::ToString(view.reason);
  const auto drained = FindDrain(*view.announcement, configuration);
  if (!drained.has_value()) {
    return {view.offer, liveness_reason, std::nullopt};
  }
  const std::string reason = view.offer == membership::Offer::kNo
                                 ? "drained, " + liveness_reason
                                 : "drained";
  return {membership::Offer::kNo, reason, drained};
}

}  // namespace bilberryspool::operators
