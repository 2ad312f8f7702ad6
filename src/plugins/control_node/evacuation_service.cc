#include "plugins/control_node/evacuation_service.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <memory>

#include "libs/base/overloaded.h"
#include "libs/net/http_status.h"

namespace bilberryspool::control_node {

namespace {

constexpr std::string_view kListPath = "/evacuations";
constexpr std::string_view kEntryPathPrefix = "/evacuations/";

void Answer(net::HttpExchange& exchange,
            int status,
            const boost::json::object& body) {
  net::HttpResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "application/json");
  exchange.Respond(std::move(head), boost::json::serialize(body) + "\n");
}

}  // namespace

void ServeEvacuationOrder(ControlNode& node,
                          net::HttpExchange& exchange,
                          const EvacuationOrder& order) {
  // Outlives this call, as the exchange may call back later.
  const auto is_abandoned = std::make_shared<bool>(false);
  exchange.NotifyOnDisconnect([is_abandoned] { *is_abandoned = true; });
  const EvacuationOutcome outcome =
      node.Evacuate(order, [is_abandoned] { return *is_abandoned; });
  std::visit(Overloaded{[&](const EvacuationAccepted&) {
                          Answer(exchange, net::status::kOk, {});
                        },
                        [&](const EvacuationInvalid& invalid) {
                          Answer(exchange, net::status::kBadRequest,
                                 {{"error", invalid.reason}});
                        },
                        [&](const EvacuationOutcomeUnknown& unknown) {
                          Answer(exchange, net::status::kUnavailable,
                                 {{"error", unknown.reason}});
                        }},
             outcome);
}

bool EvacuationService::Serve(net::HttpExchange& exchange) {
  const net::HttpRequest& request = exchange.request();
  const std::string_view target = request.target;
  if (target == kListPath && request.method == "GET") {
    const evacuation::EvacuationState state = node_.evacuations().state();
    boost::json::array domains;
    for (const FailureDomain& domain : state.domains) {
      domains.emplace_back(domain.value());
    }
    Answer(exchange, net::status::kOk,
           {{"domains", std::move(domains)}, {"revision", state.revision}});
    return true;
  }
  const bool is_order = request.method == "POST" || request.method == "DELETE";
  if (!target.starts_with(kEntryPathPrefix) || !is_order) {
    return false;
  }
  ServeEvacuationOrder(
      node_, exchange,
      {FailureDomain(std::string(target.substr(kEntryPathPrefix.size()))),
       request.method == "POST"});
  return true;
}

void EvacuationService::SetMetrics(telemetry::Registry& metrics) {
  const auto set = [&](const FailureDomain& domain, double value) {
    metrics
        .GaugeFor({"bilberryspool_failure_domain_evacuated",
                   "1 where the targets of the failure domain get no requests"},
                  {{"domain", domain.value()}})
        .Set(value);
  };
  const std::set<FailureDomain> domains = node_.evacuations().state().domains;
  for (const FailureDomain& domain : measured_) {
    set(domain, 0.0);
  }
  for (const FailureDomain& domain : domains) {
    set(domain, 1.0);
    measured_.insert(domain);
  }
}

}  // namespace bilberryspool::control_node
