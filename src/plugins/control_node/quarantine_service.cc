#include "plugins/control_node/quarantine_service.h"

#include <algorithm>
#include <boost/json/serialize.hpp>

#include "libs/net/http_status.h"
#include "libs/quarantine/quarantine_codec.h"

namespace bilberryspool::control_node {

using quarantine::Verdict;

namespace {

constexpr std::string_view kListPath = "/quarantine";
constexpr std::string_view kEntryPathPrefix = "/quarantine/";

void Respond(net::HttpExchange& exchange, int status, const std::string& body) {
  net::HttpResponseHead head;
  head.status = status;
  exchange.Respond(std::move(head), body);
}

}  // namespace

bool QuarantineService::Serve(net::HttpExchange& exchange) {
  const net::HttpRequest& request = exchange.request();
  if (request.method == "GET" && request.target == kListPath) {
    ServeList(exchange);
    return true;
  }
  if (request.method == "DELETE" &&
      request.target.starts_with(kEntryPathPrefix)) {
    ServeRelease(
        exchange,
        std::string_view(request.target).substr(kEntryPathPrefix.size()));
    return true;
  }
  return false;
}

void QuarantineService::ServeList(net::HttpExchange& exchange) {
  net::HttpResponseHead head;
  head.headers.Add("Content-Type", "application/json");
  exchange.Respond(std::move(head),
                   boost::json::serialize(quarantine::ToJson(
                       node_.quarantine().published_records())) +
                       "\n");
}

void QuarantineService::ServeRelease(net::HttpExchange& exchange,
                                     std::string_view content) {
  const auto request = quarantine::RequestFingerprint::FromText(content);
  if (!request.has_value()) {
    Respond(exchange, net::status::kBadRequest,
            "the content is not 32 hexadecimal digits\n");
    return;
  }
  const bool was_held = node_.ReleaseRequest(*request);
  Respond(exchange, was_held ? net::status::kOk : net::status::kNotFound,
          was_held ? "the request may pass\n"
                   : "nothing is held against the request here\n");
}

void QuarantineService::SetMetrics(telemetry::Registry& metrics) {
  const auto& published_records = node_.quarantine().published_records();
  const auto count_refused = [&](bool is_part) {
    return std::count_if(published_records.begin(), published_records.end(),
                         [&](const quarantine::QuarantineRecord& record) {
                           return record.verdict == Verdict::kRefused &&
                                  record.request.is_prompt_part() == is_part;
                         });
  };
  metrics
      .GaugeFor({"bilberryspool_requests_refused_for_ends",
                 "Requests that are refused since targets ended under them"})
      .Set(static_cast<double>(count_refused(false)));
  metrics
      .GaugeFor(
          {"bilberryspool_prompt_parts_refused_for_ends",
           "Prompt parts that are refused since targets ended under them"})
      .Set(static_cast<double>(count_refused(true)));
  metrics
      .GaugeFor({"bilberryspool_prompt_parts_under_suspicion",
                 "Prompt parts on record that a target ended under"})
      .Set(static_cast<double>(node_.quarantine().suspect_parts()));
  metrics
      .GaugeFor({"bilberryspool_requests_under_suspicion",
                 "Requests on record that a target ended under"})
      .Set(static_cast<double>(node_.quarantine().size()));
  metrics
      .GaugeFor({"bilberryspool_quarantine_trials",
                 "Single runs that this node has allowed"})
      .Set(static_cast<double>(node_.quarantine().trials()));
}

}  // namespace bilberryspool::control_node
