#include "tools/load/load_generator.h"

#include <boost/json.hpp>
#include <cmath>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "tools/standin/engine_model.h"

namespace bilberryspool::load {

namespace json = boost::json;

namespace {

std::string MakePrompt(std::uint64_t number) {
  return "prompt " + std::to_string(number);
}

std::string Describe(const net::HttpError& error) {
  switch (error.kind) {
    case net::HttpErrorKind::kConnect:
      return "broken: connect";
    case net::HttpErrorKind::kClosed:
      return "broken: closed";
    case net::HttpErrorKind::kTimeout:
      return "broken: silent";
    case net::HttpErrorKind::kProtocol:
      return "broken: protocol";
    case net::HttpErrorKind::kCancelled:
      return "broken: cancelled";
  }
  return "broken";
}

}  // namespace

LoadGenerator::LoadGenerator(net::NetworkLoop& loop, LoadOptions options)
    : loop_(loop),
      options_(std::move(options)),
      client_(loop, {}),
      random_(options_.seed) {}

net::HttpRequest LoadGenerator::MakeRequest(std::uint64_t number) const {
  net::HttpRequest request;
  request.method = "POST";
  request.target = options_.path;
  const std::string id =
      "load-" + std::to_string(options_.seed) + "-" + std::to_string(number);
  request.headers.Add("Content-Type", "application/json");
  request.headers.Add("Idempotency-Key", id);
  request.headers.Add("X-Request-Id", id);
  request.headers.Add(
      "Bilberryspool-Workspace",
      "w" + std::to_string(number % std::max(1U, options_.workspaces)));
  request.headers.Add("Bilberryspool-Idempotent",
                      options_.is_idempotent ? "true" : "false");
  request.body = json::serialize(json::object{{"model", options_.model},
                                              {"prompt", MakePrompt(number)},
                                              {"max_tokens", options_.tokens},
                                              {"stream", options_.is_stream}});
  return request;
}

bool LoadGenerator::IsComplete(const std::string& body,
                               const std::string& prompt) const {
  std::size_t at = 0;
  for (std::int64_t i = 0; i < options_.tokens; ++i) {
    const std::string token =
        standin::TokenAt(prompt, static_cast<std::uint64_t>(i));
    at = body.find(token, at);
    if (at == std::string::npos) {
      return false;
    }
    at += token.size();
  }
  return !options_.is_stream || body.find("[DONE]", at) != std::string::npos;
}

CallResult LoadGenerator::ReadAnswer(net::HttpClientStream& stream,
                                     const std::string& prompt,
                                     TimePoint started) {
  CallResult result;
  std::string body;
  while (true) {
    net::StreamPiece piece = stream.Read(options_.timeout);
    if (auto* bytes = std::get_if<std::string>(&piece)) {
      if (body.empty()) {
        result.first_token = net::SteadyNow() - started;
      }
      body += *bytes;
      continue;
    }
    result.total = net::SteadyNow() - started;
    if (auto* error = std::get_if<net::HttpError>(&piece)) {
      result.outcome = Describe(*error);
      return result;
    }
    break;
  }
  if (stream.head().status != 200) {
    const auto outcome =
        stream.head().headers.ValueOr("Bilberryspool-Outcome", "");
    result.outcome = outcome.empty()
                         ? "status " + std::to_string(stream.head().status)
                         : std::string(outcome);
    return result;
  }
  result.outcome = "answered";
  result.tokens = static_cast<std::uint64_t>(options_.tokens);
  result.is_correct = IsComplete(body, prompt);
  return result;
}

CallResult LoadGenerator::Call(std::uint64_t number) {
  const TimePoint started = net::SteadyNow();
  const net::Endpoint& entry =
      options_.entries[number % options_.entries.size()];
  auto opened = client_.Open(entry, MakeRequest(number), options_.timeout);
  if (auto* error = std::get_if<net::HttpError>(&opened)) {
    CallResult result;
    result.outcome = Describe(*error);
    result.total = net::SteadyNow() - started;
    return result;
  }
  auto& stream = std::get<std::unique_ptr<net::HttpClientStream>>(opened);
  return ReadAnswer(*stream, MakePrompt(number), started);
}

LoadReport LoadGenerator::Run() {
  LoadReport report;
  std::uint64_t number = 0;
  std::uint32_t in_progress = 0;
  TimePoint next = net::SteadyNow();
  const TimePoint end = next + options_.duration;
  while (next < end) {
    const Duration wait = next - net::SteadyNow();
    if (wait > Duration::zero()) {
      loop_.SleepFor(wait);
    }
    const double gap =
        -std::log(1.0 - random_.Fraction()) / options_.requests_per_second;
    next += Duration(static_cast<Duration::rep>(gap * 1e6));
    if (in_progress >= options_.max_in_progress) {
      CallResult skipped;
      skipped.outcome = "not sent: too many in progress";
      report.Add(skipped);
      continue;
    }
    ++in_progress;
    loop_.Spawn([this, &report, &in_progress, sent = number++] {
      report.Add(Call(sent));
      --in_progress;
    });
  }
  constexpr Duration kPollInterval = Milliseconds(5);
  while (in_progress > 0) {
    loop_.SleepFor(kPollInterval);
  }
  return report;
}

}  // namespace bilberryspool::load
