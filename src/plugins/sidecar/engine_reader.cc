#include "plugins/sidecar/engine_reader.h"

#include <charconv>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "libs/groups/round_codec.h"
#include "libs/net/http_status.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::sidecar {

namespace {

placement::ReadingMark MakeFirstMark() {
  std::random_device device;
  // Never 0, which stands for no reading.
  return placement::ReadingMark((std::uint64_t{device()} << 32U) + 1U);
}

placement::ReadingMark MarkOf(const net::HttpRequest& incoming) {
  const std::string_view text = incoming.headers.ValueOr(kMarkField, "");
  std::uint64_t mark = 0;
  std::from_chars(text.data(), text.data() + text.size(), mark);
  return placement::ReadingMark(mark);
}

}  // namespace

EngineReader::EngineReader(net::NetworkLoop& loop,
                           net::Endpoint engine,
                           EngineProtocol protocol)
    : client_(loop, net::OptionsForReports()),
      engine_(std::move(engine)),
      protocol_(std::move(protocol)),
      counters_(MakeFirstMark()) {}

bool EngineReader::Handles(const net::HttpRequest& request) {
  return request.headers.Find(kMarkField).has_value();
}

std::optional<std::string> EngineReader::CallEngine(
    const net::HttpRequest& request,
    Duration timeout) {
  auto result = client_.Send(engine_, request, timeout);
  auto* response = std::get_if<net::HttpResponse>(&result);
  if (response == nullptr) {
    client_.DropIdle(engine_);
    return std::nullopt;
  }
  return std::move(response->body);
}

std::string EngineReader::Answer(net::HttpExchange& exchange) {
  const Duration timeout = TimeoutOf(exchange.request());
  const placement::ReadingMark since = MarkOf(exchange.request());
  net::HttpResponseHead head;
  const auto report_body = CallEngine(protocol_.report_request(), timeout);
  const auto report = report_body.has_value()
                          ? protocol_.read_report(*report_body)
                          : std::nullopt;
  if (!report.has_value()) {
    head.status = net::status::kBadGateway;
    exchange.Respond(std::move(head), "");
    return report_body.has_value() ? "the engine's report can't be parsed"
                                   : "the engine sent no report";
  }
  groups::RankReading reading;
  reading.report = *report;
  const auto picks_body = CallEngine(protocol_.picks_request(), timeout);
  auto picks = picks_body.has_value() ? protocol_.read_picks(*picks_body)
                                      : std::optional<groups::ExpertPicks>();
  if (picks.has_value()) {
    reading.growth = counters_.Take(
        {std::move(picks->counts), picks->step.value(), report->running},
        since);
    reading.mark = counters_.mark();
  }
  exchange.Respond(std::move(head), groups::Encode(reading));
  return "";
}

}  // namespace bilberryspool::sidecar
