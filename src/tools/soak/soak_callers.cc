#include "tools/soak/soak_callers.h"

#include <charconv>

#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "libs/traffic/event_splitter.h"

namespace bilberryspool::soak {

using net::SteadyNow;
using traffic::RequestKind;

namespace {

// Time that a caller waits beyond its deadline before it counts a missing
// answer as a timeout.
constexpr Duration kTimeoutMargin = Seconds(1);
// Probability of the kinds of calls.
constexpr double kStreamShare = 0.5;
constexpr double kOnceShare = 0.3;

CallEnding EndingOf(net::HttpErrorKind kind) {
  switch (kind) {
    case net::HttpErrorKind::kConnect:
      return CallEnding::kNotSent;
    case net::HttpErrorKind::kTimeout:
      return CallEnding::kTimedOut;
    case net::HttpErrorKind::kCancelled:
      return CallEnding::kCancelled;
    case net::HttpErrorKind::kClosed:
    case net::HttpErrorKind::kProtocol:
      return CallEnding::kBroken;
  }
  return CallEnding::kBroken;
}

// Records the numbers of complete events, and whether one belongs to another
// call.
void RecordEvents(std::string_view events,
                  const std::string& id,
                  CallEnded& ended) {
  std::size_t at = 0;
  while (at < events.size()) {
    const std::size_t end = events.find("\n\n", at);
    const std::string_view event = events.substr(at, end - at);
    const std::size_t data = event.find("\ndata: ");
    std::uint32_t number = 0;
    if (event.starts_with("id: ") && data != std::string_view::npos) {
      std::from_chars(event.data() + 4, event.data() + data, number);
    }
    ended.events.push_back(number);
    if (data == std::string_view::npos || event.substr(data + 7) != id) {
      ended.has_foreign_event = true;
    }
    at = end == std::string_view::npos ? events.size() : end + 2;
  }
}

}  // namespace

SoakCallers::SoakCallers(net::NetworkLoop& loop,
                         SoakCallersOptions options,
                         const traffic::HeaderNames& dialect,
                         Ledger& ledger)
    : loop_(loop),
      options_(std::move(options)),
      dialect_(dialect),
      ledger_(ledger) {}

void SoakCallers::Start() {
  running_ = options_.callers;
  for (std::uint32_t i = 0; i < options_.callers; ++i) {
    loop_.Spawn([this, i] {
      RunCaller(i);
      --running_;
    });
  }
}

void SoakCallers::RunCaller(std::uint32_t number) {
  Random random(options_.seed * 1000 + number);
  // A client for each caller, whose connection is kept as long as the gateway
  // keeps it.
  net::HttpClientOptions client_options;
  client_options.max_idle_per_endpoint = 1;
  net::HttpClient client(loop_, client_options);
  std::size_t gateway = number % options_.gateways.size();
  while (!is_stopping_) {
    loop_.SleepFor(random.Between(Duration::zero(), options_.max_pause));
    CallSent call = MakeCall(number, random);
    call.gateway = static_cast<std::uint32_t>(gateway);
    call.at = SteadyNow();
    ledger_.OnSent(call);
    CallEnded ended = Call(client, options_.gateways[gateway], call,
                           random.Chance(options_.cancel_probability));
    ended.at = SteadyNow();
    const bool was_answered = ended.ending == CallEnding::kAnswered;
    ledger_.OnEnded(call.id, std::move(ended));
    if (!was_answered) {
      client.DropIdle(options_.gateways[gateway]);
      gateway = (gateway + 1) % options_.gateways.size();
    }
  }
}

CallSent SoakCallers::MakeCall(std::uint32_t caller, Random& random) {
  CallSent call;
  call.id = "c" + std::to_string(caller) + "-" + std::to_string(++calls_);
  const double draw = random.Fraction();
  if (draw < kStreamShare) {
    call.kind = RequestKind::kStream;
    call.path = "/stream/x";
  } else if (draw < kStreamShare + kOnceShare) {
    call.kind = RequestKind::kNonIdempotent;
    call.path = "/once/x";
  } else {
    call.kind = RequestKind::kIdempotent;
    call.path = "/any/x";
  }
  call.workspace = options_.workspace;
  call.body = "work of " + call.id;
  call.timeout = options_.timeout;
  return call;
}

net::HttpRequest SoakCallers::MakeRequest(const CallSent& call) const {
  net::HttpRequest request;
  request.method = "POST";
  request.target = call.path;
  request.headers.Add("Host", options_.host);
  request.headers.Add(dialect_.key, options_.key);
  request.headers.Add(dialect_.request_id, call.id);
  request.headers.Add(dialect_.deadline_ms,
                      std::to_string(call.timeout.count() / 1000));
  request.body = call.body;
  return request;
}

CallEnded SoakCallers::Call(net::HttpClient& client,
                            const net::Endpoint& gateway,
                            const CallSent& call,
                            bool cancels_early) {
  auto opened =
      client.Open(gateway, MakeRequest(call), call.timeout + kTimeoutMargin);
  if (const auto* error = std::get_if<net::HttpError>(&opened)) {
    CallEnded ended;
    ended.ending = EndingOf(error->kind);
    return ended;
  }
  auto& stream = *std::get<std::unique_ptr<net::HttpClientStream>>(opened);
  return ReadAnswer(stream, call, cancels_early);
}

CallEnded SoakCallers::ReadAnswer(net::HttpClientStream& stream,
                                  const CallSent& call,
                                  bool cancels_early) {
  CallEnded ended;
  ended.status = stream.head().status;
  ended.is_signed = stream.head().headers.Find(dialect_.signature).has_value();
  const bool is_event_stream =
      call.kind == RequestKind::kStream && net::status::IsSuccess(ended.status);
  traffic::EventSplitter splitter;
  std::string body;
  while (true) {
    const TimePoint ends_at = call.at + call.timeout + kTimeoutMargin;
    net::StreamPiece piece =
        stream.Read(std::max(ends_at - SteadyNow(), Milliseconds(1)));
    if (const auto* error = std::get_if<net::HttpError>(&piece)) {
      ended.ending = EndingOf(error->kind);
      return ended;
    }
    const auto* bytes = std::get_if<std::string>(&piece);
    if (bytes == nullptr) {
      break;
    }
    if (!is_event_stream) {
      body += *bytes;
      continue;
    }
    RecordEvents(splitter.Take(*bytes), call.id, ended);
    if (cancels_early) {
      stream.Cancel();
      ended.ending = CallEnding::kCancelled;
      return ended;
    }
  }
  ended.ending = CallEnding::kAnswered;
  ended.is_own_body = is_event_stream ||
                      !net::status::IsSuccess(ended.status) ||
                      body == call.id + " " + call.body;
  return ended;
}

}  // namespace bilberryspool::soak
