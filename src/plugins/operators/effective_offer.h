#ifndef PLUGINS_OPERATORS_EFFECTIVE_OFFER_H_
#define PLUGINS_OPERATORS_EFFECTIVE_OFFER_H_

#include <optional>
#include <string>

#include "libs/config/configuration.h"
#include "libs/membership/target_view.h"

namespace bilberryspool::operators {

// Whether a target receives new work, from its announced state, its liveness
// and the drains that operators declared.
struct EffectiveOffer {
  membership::Offer offer = membership::Offer::kNo;
  std::string reason;
  // "domain marka by kim at version 7"; none if the target is not drained.
  std::optional<std::string> drained_by;
};

EffectiveOffer EffectiveOfferOf(const membership::TargetView& view,
                                const config::Configuration& configuration);

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_EFFECTIVE_OFFER_H_
