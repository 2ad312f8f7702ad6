#include "plugins/agent/expert_probe.h"

#include <boost/json/parse.hpp>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::agent {

namespace json = boost::json;

namespace {

constexpr Duration kInterval = Seconds(1);
constexpr Duration kTimeout = Seconds(1);

std::uint64_t NumberOf(const json::value& value) {
  boost::system::error_code error;
  const auto number = value.to_number<std::uint64_t>(error);
  return error ? 0 : number;
}

std::uint32_t SizeOf(const json::object& object, const char* key) {
  const json::value* value = object.if_contains(key);
  return value == nullptr ? 0 : static_cast<std::uint32_t>(NumberOf(*value));
}

}  // namespace

ExpertProbe::ExpertProbe(net::NetworkLoop& loop,
                         net::Endpoint engine,
                         OnCounts on_counts)
    : loop_(loop),
      engine_(std::move(engine)),
      on_counts_(std::move(on_counts)),
      client_(loop, net::OptionsForReports()) {}

void ExpertProbe::Start() {
  loop_.Spawn([this] {
    std::optional<Totals> before;
    while (true) {
      std::optional<Totals> after = Poll();
      if (before.has_value() && after.has_value()) {
        Report(*before, *after);
      }
      before = std::move(after);
      loop_.SleepFor(kInterval);
    }
  });
}

// Totals that decreased come from a restarted engine and are skipped.
void ExpertProbe::Report(const Totals& before, const Totals& after) {
  const bool has_same_shape =
      before.layers == after.layers && before.experts == after.experts;
  if (!has_same_shape || before.tokens.size() != after.tokens.size()) {
    return;
  }
  groups::ExpertCounts counts;
  counts.window = after.read_at - before.read_at;
  counts.layers = after.layers;
  counts.experts = after.experts;
  for (std::size_t i = 0; i < after.tokens.size(); ++i) {
    if (after.tokens[i] < before.tokens[i]) {
      return;
    }
    counts.tokens.push_back(after.tokens[i] - before.tokens[i]);
  }
  on_counts_(std::move(counts));
}

std::optional<ExpertProbe::Totals> ExpertProbe::Poll() {
  net::HttpRequest request;
  request.target = "/load";
  auto result = client_.Send(engine_, request, kTimeout);
  const auto* response = std::get_if<net::HttpResponse>(&result);
  if (response == nullptr || response->head.status != 200) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const json::value value = json::parse(response->body, error);
  const auto* report = error ? nullptr : value.if_object();
  const auto* field = report ? report->if_contains("experts") : nullptr;
  const auto* experts = field ? field->if_object() : nullptr;
  const auto* tokens = experts ? experts->if_contains("tokens") : nullptr;
  if (tokens == nullptr || !tokens->is_array()) {
    return std::nullopt;
  }
  Totals totals;
  totals.read_at = net::SteadyNow();
  totals.layers = SizeOf(*experts, "layers");
  totals.experts = SizeOf(*experts, "experts");
  for (const json::value& item : tokens->as_array()) {
    totals.tokens.push_back(NumberOf(item));
  }
  return totals;
}

}  // namespace bilberryspool::agent
