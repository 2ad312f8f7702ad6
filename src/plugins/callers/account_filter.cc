#include "plugins/callers/account_filter.h"

#include "libs/telemetry/metrics.h"
#include "libs/telemetry/trace.h"

namespace bilberryspool::callers {

void AccountFilter::Handle(const RequestContext& context,
                           TimePoint now,
                           std::uint64_t wall_nanoseconds) {
  Count(context, now);
  if (spans_ == nullptr) {
    return;
  }
  const auto elapsed = std::chrono::nanoseconds(now - context.arrived);
  telemetry::Span span;
  span.name = "entry";
  span.context = context.trace;
  span.parent = context.parent_span;
  span.kind = telemetry::SpanKind::kServer;
  span.start = telemetry::WallTime(wall_nanoseconds -
                                   static_cast<std::uint64_t>(elapsed.count()));
  span.end = telemetry::WallTime(wall_nanoseconds);
  span.attributes = {{"service", context.service.value()},
                     {"workspace", context.key.workspace.value()},
                     {"request", context.key.request.value()},
                     {"outcome", context.outcome},
                     {"attempts", static_cast<std::int64_t>(context.attempts)}};
  if (context.outcome != "answered") {
    span.error = context.reason;
  }
  spans_->Write(std::move(span));
}

void AccountFilter::Count(const RequestContext& context, TimePoint now) {
  metrics_
      .CounterFor({"bilberryspool_requests_total",
                   "Finished requests by outcome and reason"},
                  {{"outcome", context.outcome}, {"reason", context.reason}})
      .Add();
  metrics_
      .DistributionFor({"bilberryspool_request_seconds",
                        "Time from arrival to the end of the answer"})
      .Record(ToSeconds(now - context.arrived));
  if (context.first_byte.has_value()) {
    metrics_
        .DistributionFor({"bilberryspool_first_byte_seconds",
                          "Time from arrival to the first byte answered"})
        .Record(ToSeconds(*context.first_byte - context.arrived));
  }
  if (context.attempts > 1) {
    metrics_
        .CounterFor({"bilberryspool_retries_total",
                     "Attempts after the first of a request"})
        .Add(context.attempts - 1);
  }
}

}  // namespace bilberryspool::callers
