// Tests the templates of settings that deploy/system.toml names.

#include <doctest/doctest.h>

#include <fstream>
#include <iterator>
#include <map>
#include <string>

#include "libs/settings/load.h"

namespace bilberryspool::platform {
namespace {

using settings::ControlSettings;
using settings::GatewaySettings;
using settings::LoadResult;
using settings::Settings;
using settings::SidecarSettings;

using Fields = std::map<std::string, std::string, std::less<>>;

std::string ReadTemplate(const std::string& role) {
  std::ifstream file(BILBERRYSPOOL_SOURCE_FOLDER "/platform/" + role +
                     ".toml.in");
  return {std::istreambuf_iterator<char>(file), {}};
}

// Replaces each placeholder by its value, or by nothing if it has none, and
// knows no sections, as the simplest platform would.
std::string Render(std::string text, const Fields& fields) {
  std::size_t start = 0;
  while ((start = text.find("{{", start)) != std::string::npos) {
    const std::size_t end = text.find("}}", start);
    REQUIRE(end != std::string::npos);
    const auto field = fields.find(text.substr(start + 2, end - start - 2));
    const std::string value = field == fields.end() ? "" : field->second;
    text.replace(start, end + 2 - start, value);
    start += value.size();
  }
  return text;
}

// The fields that every platform gives.
Fields CommonFields() {
  return {{"node", "edge-1"},
          {"zone", "z1"},
          {"ip", "127.0.0.1"},
          {"app", "127.0.0.1:7006"},
          {"data_dir", "/tmp/data"},
          {"seeds|json", R"(["127.0.0.1:7004","127.0.0.2:7004"])"},
          {"bootstrap", "true"},
          {"heartbeat_ms", "1200"},
          {"fault_tolerance.machines", "1"},
          {"internal_port_range.0", "7000"},
          {"internal_port_range.1", "7001"},
          {"listen.front", "127.0.0.1:7002"},
          {"listen.readiness_address", "127.0.0.1:7003"},
          {"listen.control", "127.0.0.1:7004"},
          {"bounds.grace_s", "8"},
          {"bounds.retry_budget_ratio", "0.2"},
          {"bounds.budget_slack", "94"},
          {"bounds.budget_window_s", "10"}};
}

template <typename Role>
Role LoadRendered(const std::string& role, const Fields& fields) {
  const std::string text = Render(ReadTemplate(role), fields);
  const LoadResult result = settings::Parse(text, role + ".toml.in");
  const auto* errors =
      std::get_if<std::vector<settings::SettingsError>>(&result);
  REQUIRE_MESSAGE(errors == nullptr, (errors ? ToString(*errors) : ""));
  return std::get<Role>(std::get<Settings>(result).role);
}

// Guards against a template that is only valid settings where the platform
// renders sections.
TEST_CASE("each template is rendered by plain substitution") {
  const Fields fields = CommonFields();
  CHECK(LoadRendered<ControlSettings>("control", fields).seeds.size() == 2);
  CHECK(LoadRendered<GatewaySettings>("gateway", fields).retries.slack == 94);
  const auto sidecar = LoadRendered<SidecarSettings>("sidecar", fields);
  CHECK(sidecar.engine.ToString() == "127.0.0.1:7006");
}

// Guards against a gateway that does not start where the platform sets no bound
// for cold targets, or ignores the bound where it does.
TEST_CASE("the bounds of cold targets may be given or absent") {
  struct Row {
    const char* overage;  // null where the platform gives no value
    const char* slack;
    double expected_overage;
    double expected_slack;
  };
  constexpr Row kRows[] = {
      {nullptr, nullptr, 1.0, 0.0}, {"1.5", "2", 1.5, 2.0},
      {"0", "0", 0.0, 0.0},         {"2", nullptr, 2.0, 0.0},
      {nullptr, "0.25", 1.0, 0.25},
  };
  for (const Row& row : kRows) {
    CAPTURE(row.expected_overage);
    CAPTURE(row.expected_slack);
    Fields fields = CommonFields();
    if (row.overage != nullptr) {
      fields["bounds.cold_overage"] = row.overage;
    }
    if (row.slack != nullptr) {
      fields["bounds.cold_slack"] = row.slack;
    }
    const auto gateway = LoadRendered<GatewaySettings>("gateway", fields);
    CHECK(gateway.cold_targets.overage == row.expected_overage);
    CHECK(gateway.cold_targets.slack == row.expected_slack);
  }
}

}  // namespace
}  // namespace bilberryspool::platform
