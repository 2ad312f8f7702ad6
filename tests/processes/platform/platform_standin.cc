// Stand-ins for the targets of the users' platform, for tests: they announce
// themselves to control nodes, refuse requests for another target, sign their
// answers and stream resumable events. Each counts the runs by request id.

#include <gflags/gflags.h>

#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "libs/net/http_client.h"
#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"
#include "platform/outside_calls.h"

DEFINE_string(listen, "127.0.0.1", "IP number of all targets");
DEFINE_int32(first_port, 0, "port of the first target; the others follow");
DEFINE_int32(count, 2, "targets");
DEFINE_string(service, "model", "service of the targets");
DEFINE_string(zone, "z1", "failure domain of the targets");
DEFINE_bool(cold, false, "the targets say that they are cold");
DEFINE_string(control,
              "",
              "control nodes, IP:PORT, separated by commas; without any, the "
              "targets are not announced");
DEFINE_int32(event_ms, 20, "pause between the events of a stream");
DEFINE_string(boot, "", "suffix of the target ids, different for each start");
DEFINE_string(ends_on,
              "",
              "the process exits when it runs a body that contains this");
DEFINE_string(ends_on_part,
              "",
              "the process exits when it runs a request whose prompt has this "
              "part, other than as its last");
DEFINE_string(limit,
              "",
              "requests a second that its answers name as the limit");
DEFINE_string(arrivals, "", "file to append the time of each request to, ms");
DEFINE_string(retry_after,
              "",
              "it refuses all requests with 503 and this field, until told "
              "otherwise at /retry_after/SECONDS (empty: it serves)");
DEFINE_string(requests,
              "",
              "file to append a line to for each request: its time in ms, its "
              "id, and what was answered");
DEFINE_string(record,
              "",
              "file to append a line to for each run of such a body");

namespace bilberryspool {
namespace {

constexpr int kEvents = 20;
constexpr Duration kAnnounceInterval = Milliseconds(300);

std::vector<net::Endpoint> ReadEndpoints(const std::string& text) {
  std::vector<net::Endpoint> endpoints;
  std::size_t start = 0;
  while (start <= text.size()) {
    const std::size_t comma = std::min(text.find(',', start), text.size());
    if (auto one = net::ParseEndpoint(text.substr(start, comma - start))) {
      endpoints.push_back(*one);
    }
    start = comma + 1;
  }
  return endpoints;
}

class Target {
 public:
  Target(net::NetworkLoop& loop, int number)
      : loop_(loop),
        id_("i-" + std::to_string(number) + FLAGS_boot),
        endpoint_{FLAGS_listen,
                  static_cast<std::uint16_t>(FLAGS_first_port + number)},
        control_(ReadEndpoints(FLAGS_control)),
        client_(loop, net::HttpClientOptions{}),
        server_(loop, Options(endpoint_), [this](net::HttpExchange& exchange) {
          Handle(exchange);
        }) {}

  std::string Start() {
    announcement_.target = TargetId(id_);
    announcement_.service = ServiceId(FLAGS_service);
    announcement_.address = endpoint_.ToString();
    announcement_.domain = FailureDomain(FLAGS_zone);
    announcement_.slots = 8;
    announcement_.is_cold = FLAGS_cold;
    if (!control_.empty()) {
      loop_.Spawn([this] { AnnouncePeriodically(); });
    }
    return server_.Start();
  }

 private:
  static net::HttpServerOptions Options(const net::Endpoint& endpoint) {
    net::HttpServerOptions options;
    options.listen = endpoint;
    return options;
  }

  void AnnouncePeriodically() {
    std::size_t control_index = 0;
    while (true) {
      ++announcement_.sequence;
      const auto result = client_.Send(
          control_[control_index % control_.size()],
          platform::AnnounceCall(announcement_), Milliseconds(1000));
      const auto* response = std::get_if<net::HttpResponse>(&result);
      if (response == nullptr || response->head.status != 200) {
        ++control_index;
      }
      loop_.SleepFor(kAnnounceInterval);
    }
  }

  void Answer(net::HttpExchange& exchange,
              int status,
              const std::string& body) {
    net::HttpResponseHead head;
    head.status = status;
    exchange.Respond(std::move(head), body);
  }

  net::HttpResponseHead SignedHead(const net::HttpRequest& request) {
    net::HttpResponseHead head;
    head.headers.Add("Bilberryspool-Response-Seal", "seal-of-" + id_);
    head.headers.Add("Bilberryspool-Server-Load", "1,0,8");
    if (!FLAGS_limit.empty()) {
      head.headers.Add("Server-Limit", FLAGS_limit);
    }
    if (is_leaving_) {
      head.headers.Add("Server-Leaving", "1");
    }
    head.headers.Add(
        "Bilberryspool-Attempt-Id",
        std::string(request.headers.ValueOr("Bilberryspool-Attempt-Id", "")));
    return head;
  }

  void Handle(net::HttpExchange& exchange) {
    const net::HttpRequest& request = exchange.request();
    const std::string witness = "/witness/";
    if (request.target.starts_with(witness)) {
      Answer(exchange, 200,
             std::to_string(runs_[request.target.substr(witness.size())]));
      return;
    }
    if (request.target == "/drain") {
      announcement_.standing = traffic::Standing::kLeaving;
      Answer(exchange, 200, "");
      return;
    }
    const std::string retry_after = "/retry_after/";
    if (request.target.starts_with(retry_after)) {
      retry_after_ = request.target.substr(retry_after.size());
      Answer(exchange, 200, "");
      return;
    }
    if (request.target == "/leave") {
      is_leaving_ = true;
      Answer(exchange, 200, "");
      return;
    }
    if (request.headers.ValueOr("Bilberryspool-Expect-Instance", id_) != id_) {
      Answer(exchange, 421, "");
      return;
    }
    if (!retry_after_.empty()) {
      RecordRequest(request, "refused");
      Refuse(exchange);
      return;
    }
    RecordRequest(request, is_leaving_ ? "leaving" : "run");
    Run(exchange);
  }

  // Simulates a target that is overloaded and asks for a pause.
  void Refuse(net::HttpExchange& exchange) {
    net::HttpResponseHead head;
    head.status = 503;
    head.headers.Add("Bilberryspool-Not-Executed", "1");
    head.headers.Add("Retry-After", retry_after_);
    if (is_leaving_) {
      head.headers.Add("Server-Leaving", "1");
    }
    exchange.Respond(std::move(head), "");
  }

  // Simulates an engine that crashes shortly after it started a request.
  void Crash() {
    constexpr Duration kCrashDelay = Milliseconds(20);
    std::ofstream(FLAGS_record, std::ios::app) << id_ << "\n";
    loop_.SleepFor(kCrashDelay);
    std::_Exit(1);
  }

  // Simulates a faulty engine that sends bytes until its caller closes.
  void RunWithoutEnd(net::HttpExchange& exchange) {
    constexpr std::size_t kPieceBytes = 64UL * 1024;
    net::HttpResponseHead head = SignedHead(exchange.request());
    const bool is_stream =
        exchange.request().target.find("/stream/") != std::string::npos;
    if (is_stream) {
      head.headers.Add("Content-Type", "text/event-stream");
    }
    exchange.BeginStream(std::move(head));
    std::size_t sent_pieces = 0;
    while (exchange.WritePiece(std::string(kPieceBytes, 'a'))) {
      ++sent_pieces;
    }
    std::ofstream(FLAGS_record, std::ios::app)
        << "closed after " << sent_pieces * kPieceBytes << " bytes\n";
  }

  static std::int64_t SteadyMilliseconds() {
    using std::chrono::milliseconds;
    using std::chrono::steady_clock;
    const auto now = steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<milliseconds>(now).count();
  }

  static void RecordArrival() {
    if (!FLAGS_arrivals.empty()) {
      std::ofstream(FLAGS_arrivals, std::ios::app)
          << SteadyMilliseconds() << "\n";
    }
  }

  void RecordRequest(const net::HttpRequest& request,
                     const std::string& answer) const {
    if (!FLAGS_requests.empty()) {
      std::ofstream(FLAGS_requests, std::ios::app)
          << SteadyMilliseconds() << " " << id_ << " "
          << request.headers.ValueOr("Bilberryspool-Attempt-Id", "none") << " "
          << answer << "\n";
    }
  }

  void Run(net::HttpExchange& exchange) {
    RecordArrival();
    const net::HttpRequest& request = exchange.request();
    if (!FLAGS_ends_on.empty() &&
        request.body.find(FLAGS_ends_on) != std::string::npos) {
      Crash();
    }
    const std::string parts(
        request.headers.ValueOr("Bilberryspool-Prompt-Prefix", ""));
    if (!FLAGS_ends_on_part.empty() &&
        ("," + parts.substr(0, parts.rfind(',') + 1))
                .find("," + FLAGS_ends_on_part + ":") != std::string::npos) {
      Crash();
    }
    ++runs_[std::string(
        request.headers.ValueOr("Bilberryspool-Attempt-Id", "none"))];
    if (request.headers.Find("Api-Key").has_value()) {
      Answer(exchange, 500, "the key was passed on");
      return;
    }
    if (request.target.find("/endless") != std::string::npos) {
      RunWithoutEnd(exchange);
      return;
    }
    if (request.target.find("/stream/") == std::string::npos) {
      exchange.Respond(
          SignedHead(request),
          id_ + " " +
              std::string(request.headers.ValueOr("Bilberryspool-Tenant", "")) +
              " " + request.body);
      return;
    }
    const std::string last(request.headers.ValueOr("Last-Event-Id", "0"));
    net::HttpResponseHead head = SignedHead(request);
    head.headers.Add("Content-Type", "text/event-stream");
    exchange.BeginStream(std::move(head));
    for (int event = std::stoi(last) + 1; event <= kEvents; ++event) {
      loop_.SleepFor(Milliseconds(FLAGS_event_ms));
      const std::string number = std::to_string(event);
      if (!exchange.WritePiece("id: " + number + "\ndata: " + number +
                               "\n\n")) {
        return;
      }
    }
    exchange.EndStream();
  }

  net::NetworkLoop& loop_;
  std::string id_;
  net::Endpoint endpoint_;
  std::vector<net::Endpoint> control_;
  traffic::TargetAnnouncement announcement_;
  std::map<std::string, int> runs_;
  std::string retry_after_ = FLAGS_retry_after;
  bool is_leaving_ = false;
  net::HttpClient client_;
  net::HttpServer server_;
};

int Run() {
  net::NetworkLoop loop;
  std::vector<std::unique_ptr<Target>> targets;
  loop.Run([&] {
    for (int i = 0; i < FLAGS_count; ++i) {
      targets.push_back(std::make_unique<Target>(loop, i));
      const std::string error = targets.back()->Start();
      if (!error.empty()) {
        std::cerr << error << "\n";
        std::_Exit(1);
      }
    }
    loop.OnStopSignal([] { std::_Exit(0); });
    loop.WaitForStop();
  });
  return 0;
}

}  // namespace
}  // namespace bilberryspool

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bilberryspool::Run();
}
