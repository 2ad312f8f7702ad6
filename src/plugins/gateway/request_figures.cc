#include "plugins/gateway/request_figures.h"

namespace bilberryspool::gateway {

RequestFigures::OfService& RequestFigures::FiguresOf(const ServiceId& service) {
  const auto [found, is_new] = services_.try_emplace(service);
  OfService& figures = found->second;
  if (is_new) {
    const telemetry::Labels labels = {{"service", service.value()}};
    figures.whole = &registry_.DistributionFor(
        {"bilberryspool_request_seconds",
         "Time from the arrival of a request to the end of its answer"},
        labels);
    figures.first_event = &registry_.DistributionFor(
        {"bilberryspool_first_event_seconds",
         "Time from the arrival of a request to the first event passed on"},
        labels);
    figures.longest_pause = &registry_.DistributionFor(
        {"bilberryspool_longest_pause_seconds",
         "Longest pause between two events of a stream"},
        labels);
  }
  return figures;
}

void RequestFigures::Note(const ServiceId& service,
                          std::string_view outcome,
                          const RequestTimes& times) {
  OfService& figures = FiguresOf(service);
  auto counter = figures.outcomes.find(outcome);
  if (counter == figures.outcomes.end()) {
    telemetry::Counter& added = registry_.CounterFor(
        {"bilberryspool_requests_total", "Finished requests by outcome"},
        {{"outcome", std::string(outcome)}, {"service", service.value()}});
    counter = figures.outcomes.emplace(std::string(outcome), &added).first;
  }
  counter->second->Add();
  figures.whole->Record(ToSeconds(times.whole));
  if (times.first_event.has_value()) {
    figures.first_event->Record(ToSeconds(*times.first_event));
    figures.longest_pause->Record(ToSeconds(times.longest_pause));
  }
}

}  // namespace bilberryspool::gateway
