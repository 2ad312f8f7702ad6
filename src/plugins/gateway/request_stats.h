// Request times, as distributions on the metrics address.

#ifndef PLUGINS_GATEWAY_REQUEST_STATS_H_
#define PLUGINS_GATEWAY_REQUEST_STATS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/telemetry/metrics.h"

namespace bilberryspool::gateway {

// Times of one request as its caller saw them.
struct RequestTimes {
  Duration total{};
  // For streams: the time until the first event and the longest pause after it.
  std::optional<Duration> first_event;
  Duration max_pause{};
};

// Used in the gateway's loop only.
class RequestStats {
 public:
  explicit RequestStats(telemetry::Registry& registry) : registry_(registry) {}

  void RecordRequest(const ServiceId& service,
                     std::string_view outcome,
                     const RequestTimes& times);

 private:
  // Cached, as a look-up by name costs more than recording the request.
  struct ServiceStats {
    telemetry::Distribution* total = nullptr;
    telemetry::Distribution* first_event = nullptr;
    telemetry::Distribution* max_pause = nullptr;
    std::map<std::string, telemetry::Counter*, std::less<>> outcomes;
  };

  ServiceStats& StatsOf(const ServiceId& service);

  telemetry::Registry& registry_;
  std::map<ServiceId, ServiceStats> services_;
};

}  // namespace bilberryspool::gateway

#endif  // PLUGINS_GATEWAY_REQUEST_STATS_H_
