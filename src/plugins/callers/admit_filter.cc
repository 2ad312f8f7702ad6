#include "plugins/callers/admit_filter.h"

namespace bilberryspool::callers {

std::optional<FinalAnswer> AdmitFilter::Handle(RequestContext& context,
                                               CallerWatch& watch) {
  context.admission = admission_controller_.NextId();
  watch.SetHandler(
      [this, &context] { admission_controller_.Abandon(context.admission); });
  const auto refusal = admission_controller_.Wait(context);
  watch.SetHandler(nullptr);
  if (refusal.has_value()) {
    return MakeFinalAnswer(*refusal);
  }
  context.has_caller_disconnected = watch.has_disconnected();
  context.is_admitted = !context.has_caller_disconnected;
  return std::nullopt;
}

}  // namespace bilberryspool::callers
