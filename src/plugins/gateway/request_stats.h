// What callers wait for, as distributions on the metrics address.

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

// How one request went, as its caller saw it.
struct RequestTimes {
  Duration total{};
  // Of a stream: until its first event, and the longest pause after that.
  std::optional<Duration> first_event;
  Duration max_pause{};
};

// Belongs to the gateway's loop.
class RequestStats {
 public:
  explicit RequestStats(telemetry::Registry& registry) : registry_(registry) {}

  void RecordRequest(const ServiceId& service,
                     std::string_view outcome,
                     const RequestTimes& times);

 private:
  // Looked up once: a look-up by name costs more than the note.
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
