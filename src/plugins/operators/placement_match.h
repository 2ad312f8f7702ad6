#ifndef PLUGINS_OPERATORS_PLACEMENT_MATCH_H_
#define PLUGINS_OPERATORS_PLACEMENT_MATCH_H_

#include "libs/config/configuration.h"
#include "libs/membership/announcement.h"

namespace bilberryspool::operators {

// Whether a placement lets the target serve `service`.
bool MayServe(const membership::Announcement& announcement,
              const config::ServiceSpec& service,
              const config::Configuration& configuration);

// Whether the target may hold a rank of `group`.
bool MayHoldRank(const membership::Announcement& announcement,
                 const config::GroupSpec& group);

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_PLACEMENT_MATCH_H_
