#include "tools/soak/soak_target.h"

#include <charconv>

#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "platform/outside_calls.h"

namespace bilberryspool::soak {

using net::SteadyNow;

namespace {

constexpr std::uint32_t kSlots = 16;
constexpr Duration kAnnounceTimeout = Milliseconds(1000);

net::HttpServerOptions ServerOptions(const net::Endpoint& listen) {
  net::HttpServerOptions options;
  options.listen = listen;
  return options;
}

std::uint32_t ReadNumber(std::string_view text) {
  std::uint32_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

SoakTarget::SoakTarget(net::NetworkLoop& loop,
                       SoakTargetOptions options,
                       const traffic::HeaderNames& dialect,
                       Ledger& ledger)
    : loop_(loop),
      options_(std::move(options)),
      dialect_(dialect),
      ledger_(ledger),
      client_(loop, {}),
      server_(loop,
              ServerOptions(options_.listen),
              [this](net::HttpExchange& exchange) { Handle(exchange); }),
      relay_(loop.io(), options_.advertise, options_.listen) {}

std::string SoakTarget::Start() {
  std::string error = server_.Start();
  if (error.empty()) {
    error = relay_.Start();
  }
  if (error.empty()) {
    Restart();
    loop_.Spawn([this] { AnnouncePeriodically(); });
  }
  return error;
}

void SoakTarget::Crash() {
  is_alive_ = false;
  relay_.set_new_connections(blackhole::NewConnections::kRefused);
  relay_.CloseOpenConnections();
}

void SoakTarget::Restart() {
  ++incarnation_;
  announcement_ = {};
  announcement_.target = TargetId("i-" + std::to_string(options_.number) + "-" +
                                  std::to_string(incarnation_));
  announcement_.service = options_.service;
  announcement_.address = options_.advertise.ToString();
  announcement_.domain =
      FailureDomain("z" + std::to_string(options_.number % 3 + 1));
  announcement_.slots = kSlots;
  is_alive_ = true;
  has_withdrawn_ = false;
  relay_.set_new_connections(blackhole::NewConnections::kRelayed);
}

bool SoakTarget::SendToControl(const net::HttpRequest& call) {
  const net::Endpoint& node =
      options_.control[control_index_ % options_.control.size()];
  const auto result = client_.Send(node, call, kAnnounceTimeout);
  const auto* response = std::get_if<net::HttpResponse>(&result);
  if (response != nullptr && net::status::IsSuccess(response->head.status)) {
    return true;
  }
  ++control_index_;
  return false;
}

void SoakTarget::AnnouncePeriodically() {
  while (true) {
    if (is_alive_ && !has_withdrawn_) {
      ++announcement_.sequence;
      SendToControl(platform::AnnounceCall(announcement_));
    }
    loop_.SleepFor(options_.announcement_interval);
  }
}

void SoakTarget::Drain() {
  announcement_.standing = traffic::Standing::kLeaving;
  ++announcement_.sequence;
  SendDeparture(platform::AnnounceCall(announcement_));
  constexpr Duration kDrainTime = Milliseconds(3500);
  loop_.SleepFor(kDrainTime);
  is_alive_ = false;
  SendToControl(platform::WithdrawCall(announcement_.target));
}

void SoakTarget::WithdrawFirst() {
  if (!is_alive_ || has_withdrawn_) {
    return;
  }
  has_withdrawn_ = true;
  SendDeparture(platform::WithdrawCall(announcement_.target));
  loop_.Spawn([this, incarnation = incarnation_] {
    // Longer than the effect of a restart of all control nodes.
    constexpr Duration kServingTime = Seconds(12);
    loop_.SleepFor(kServingTime);
    if (is_alive_ && incarnation == incarnation_) {
      Restart();
    }
  });
}

void SoakTarget::SendDeparture(const net::HttpRequest& call) {
  constexpr int kMaxTries = 12;
  const std::string target = announcement_.target.value();
  for (int i = 0; i < kMaxTries; ++i) {
    if (SendToControl(call)) {
      ledger_.OnLeaving(target, SteadyNow());
      return;
    }
  }
}

void SoakTarget::Handle(net::HttpExchange& exchange) {
  const std::string expected(exchange.request().headers.ValueOr(
      dialect_.expected_target, announcement_.target.value()));
  if (expected != announcement_.target.value()) {
    net::HttpResponseHead head;
    head.status = net::status::kMisdirected;
    exchange.Respond(std::move(head), "");
    return;
  }
  Run(exchange);
}

net::HttpResponseHead SoakTarget::SignedHead(
    const net::HttpRequest& request) const {
  net::HttpResponseHead head;
  head.headers.Add(dialect_.signature,
                   "signed by " + announcement_.target.value());
  head.headers.Add(dialect_.load, "1,0," + std::to_string(kSlots));
  head.headers.Add(dialect_.request_id, std::string(request.headers.ValueOr(
                                            dialect_.request_id, "")));
  return head;
}

void SoakTarget::Run(net::HttpExchange& exchange) {
  const net::HttpRequest& request = exchange.request();
  RunSeen run;
  run.id = std::string(request.headers.ValueOr(dialect_.request_id, ""));
  run.target = announcement_.target.value();
  run.target_number = options_.number;
  run.workspace = std::string(request.headers.ValueOr(dialect_.workspace, ""));
  run.path = request.target;
  run.body = request.body;
  run.at = SteadyNow();
  const std::string body = run.id + " " + run.body;
  ledger_.OnRun(std::move(run));
  const std::uint32_t incarnation = incarnation_;
  if (options_.is_engine) {
    StreamEvents(exchange, incarnation);
    return;
  }
  loop_.SleepFor(options_.plain_work);
  if (incarnation == incarnation_ && is_alive_) {
    exchange.Respond(SignedHead(request), body);
  } else {
    exchange.AbortStream();
  }
}

void SoakTarget::StreamEvents(net::HttpExchange& exchange,
                              std::uint32_t incarnation) {
  const net::HttpRequest& request = exchange.request();
  const std::string id(request.headers.ValueOr(dialect_.request_id, ""));
  const std::uint32_t last =
      ReadNumber(request.headers.ValueOr("Last-Event-Id", "0"));
  net::HttpResponseHead head = SignedHead(request);
  head.headers.Add("Content-Type", "text/event-stream");
  if (!exchange.BeginStream(std::move(head))) {
    return;
  }
  for (std::uint32_t event = last + 1; event <= options_.events; ++event) {
    // Send the end of the event separately, so that a cut can fall within the
    // event.
    loop_.SleepFor(options_.event_gap / 2);
    const bool has_begun =
        exchange.WritePiece("id: " + std::to_string(event) + "\ndata: " + id);
    loop_.SleepFor(options_.event_gap / 2);
    if (!has_begun || incarnation != incarnation_ || !is_alive_ ||
        !exchange.WritePiece("\n\n")) {
      exchange.AbortStream();
      return;
    }
  }
  exchange.EndStream();
}

}  // namespace bilberryspool::soak
