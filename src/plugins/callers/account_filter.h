#ifndef PLUGINS_CALLERS_ACCOUNT_FILTER_H_
#define PLUGINS_CALLERS_ACCOUNT_FILTER_H_

#include "plugins/callers/request_context.h"

namespace bilberryspool::telemetry {
class Registry;
class SpanWriter;
}  // namespace bilberryspool::telemetry

namespace bilberryspool::callers {

// Records the metrics of a finished request and writes its span.
class AccountFilter {
 public:
  AccountFilter(telemetry::Registry& metrics, telemetry::SpanWriter* spans)
      : metrics_(metrics), spans_(spans) {}

  // `wall_nanoseconds` is the time of day at `now`, for the span.
  void Handle(const RequestContext& context,
              TimePoint now,
              std::uint64_t wall_nanoseconds);

 private:
  void Count(const RequestContext& context, TimePoint now);

  telemetry::Registry& metrics_;
  telemetry::SpanWriter* spans_;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_ACCOUNT_FILTER_H_
