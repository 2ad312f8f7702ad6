#ifndef PLUGINS_CALLERS_CLASSIFY_FILTER_H_
#define PLUGINS_CALLERS_CLASSIFY_FILTER_H_

#include <optional>

#include "plugins/callers/final_answer.h"
#include "plugins/callers/request_context.h"
#include "plugins/callers/service_table.h"

namespace bilberryspool::callers {

struct ClassifyOptions {
  Duration default_deadline = Seconds(30);
  Duration max_deadline = Seconds(600);
};

// Determines the service of a request, its idempotency, priority and deadline.
// Header fields of the request take precedence over the configuration.
class ClassifyFilter {
 public:
  ClassifyFilter(const ServiceTable& services, ClassifyOptions options)
      : services_(services), options_(options) {}

  std::optional<FinalAnswer> Handle(RequestContext& context);

 private:
  limits::Priority PriorityOf(const RequestContext& context) const;

  const ServiceTable& services_;
  ClassifyOptions options_;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_CLASSIFY_FILTER_H_
