#include "plugins/agent/load_probe.h"

#include <boost/json/parse.hpp>

#include "libs/net/network_loop.h"

namespace bilberryspool::agent {

namespace json = boost::json;

namespace {

constexpr Duration kTimeout = Seconds(1);

std::uint32_t ReadCount(const json::object& report, const char* key) {
  const json::value* value = report.if_contains(key);
  if (value == nullptr || !value->is_int64() || value->as_int64() < 0) {
    return 0;
  }
  return static_cast<std::uint32_t>(value->as_int64());
}

}  // namespace

LoadProbe::LoadProbe(net::NetworkLoop& loop,
                     net::Endpoint engine,
                     Duration interval,
                     OnLoad on_load)
    : loop_(loop),
      engine_(std::move(engine)),
      interval_(interval),
      on_load_(std::move(on_load)),
      client_(loop, net::OptionsForReports()) {}

void LoadProbe::Start() {
  loop_.Spawn([this] {
    while (true) {
      on_load_(Poll());
      loop_.SleepFor(interval_);
    }
  });
}

std::optional<membership::LoadReport> LoadProbe::Poll() {
  net::HttpRequest request;
  request.target = "/load";
  auto result = client_.Send(engine_, request, kTimeout);
  const auto* response = std::get_if<net::HttpResponse>(&result);
  if (response == nullptr || response->head.status != 200) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const json::value value = json::parse(response->body, error);
  if (error || !value.is_object()) {
    return std::nullopt;
  }
  membership::LoadReport load;
  load.running = ReadCount(value.as_object(), "running");
  load.queued = ReadCount(value.as_object(), "queued");
  return load;
}

}  // namespace bilberryspool::agent
