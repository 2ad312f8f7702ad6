#include "plugins/gateway/request_stats.h"

namespace bilberryspool::gateway {

RequestStats::ServiceStats& RequestStats::StatsOf(const ServiceId& service) {
  const auto [found, is_new] = services_.try_emplace(service);
  ServiceStats& stats = found->second;
  if (is_new) {
    const telemetry::Labels labels = {{"service", service.value()}};
    stats.total = &registry_.DistributionFor(
        {"bilberryspool_request_seconds",
         "Time from the arrival of a request to the end of its answer"},
        labels);
    stats.first_event = &registry_.DistributionFor(
        {"bilberryspool_first_event_seconds",
         "Time from the arrival of a request to the first event passed on"},
        labels);
    stats.max_pause = &registry_.DistributionFor(
        {"bilberryspool_longest_pause_seconds",
         "Longest pause between two events of a stream"},
        labels);
  }
  return stats;
}

void RequestStats::RecordRequest(const ServiceId& service,
                                 std::string_view outcome,
                                 const RequestTimes& times) {
  ServiceStats& stats = StatsOf(service);
  auto counter = stats.outcomes.find(outcome);
  if (counter == stats.outcomes.end()) {
    telemetry::Counter& added = registry_.CounterFor(
        {"bilberryspool_requests_total", "Finished requests by outcome"},
        {{"outcome", std::string(outcome)}, {"service", service.value()}});
    counter = stats.outcomes.emplace(std::string(outcome), &added).first;
  }
  counter->second->Add();
  stats.total->Record(ToSeconds(times.total));
  if (times.first_event.has_value()) {
    stats.first_event->Record(ToSeconds(*times.first_event));
    stats.max_pause->Record(ToSeconds(times.max_pause));
  }
}

}  // namespace bilberryspool::gateway
