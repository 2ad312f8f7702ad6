#ifndef PLUGINS_CALLERS_ADMIT_FILTER_H_
#define PLUGINS_CALLERS_ADMIT_FILTER_H_

#include <optional>

#include "plugins/callers/admission_controller.h"
#include "plugins/callers/caller_watch.h"
#include "plugins/callers/final_answer.h"
#include "plugins/callers/request_context.h"

namespace bilberryspool::callers {

// Lets a request wait until there is capacity for it, or refuses it.
class AdmitFilter {
 public:
  explicit AdmitFilter(AdmissionController& admission_controller)
      : admission_controller_(admission_controller) {}

  std::optional<FinalAnswer> Handle(RequestContext& context,
                                    CallerWatch& watch);

 private:
  AdmissionController& admission_controller_;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_ADMIT_FILTER_H_
