// Entry point of the program: selects the subcommand and runs it.

#include <gflags/gflags.h>
#include <malloc.h>

#include <iostream>
#include <string>
#include <variant>

#include "libs/base/overloaded.h"
#include "libs/settings/key_table.h"
#include "libs/settings/load.h"
#include "libs/settings/settings_error.h"
#include "libs/telemetry/log.h"
#include "platform/configuration_codec.h"
#include "platform/control_api.h"
#include "platform/engine_codec.h"
#include "platform/wire_names.h"
#include "plugins/agent/agent_process.h"
#include "plugins/control_node/control_node_process.h"
#include "plugins/entry/entry_process.h"
#include "plugins/gateway/gateway_process.h"
#include "plugins/query/query_command.h"
#include "plugins/sidecar/sidecar_process.h"

DEFINE_string(settings, "", "settings file (TOML); see docs/SETTINGS.md");

namespace bilberryspool {
namespace {

constexpr char kUsage[] =
    "usage: bilberryspool COMMAND [flags]\n"
    "\n"
    "  entry --settings=FILE   serve callers and operators on an entry VM;\n"
    "                          with a data folder also a control replica\n"
    "  agent --settings=FILE   serve one engine or plain service on a target "
    "VM\n"
    "  gateway --settings=FILE serve callers on a VM without a disk, calling "
    "the\n"
    "                          targets directly\n"
    "  control --settings=FILE a control replica that serves no callers\n"
    "  sidecar --settings=FILE relays reports and orders to the engine "
    "beside it\n"
    "  query --address=IP:PORT[,IP:PORT...] --credential_file=FILE "
    "[STATEMENT]\n"
    "                          ask or order as an operator; without a "
    "statement\n"
    "                          a prompt\n"
    "  check --settings=FILE   check a settings file: exit 0, or 1 with what "
    "is\n"
    "                          wrong\n"
    "  version                 print the version\n"
    "  help                    print this text\n";

constexpr int kUsageError = 2;

telemetry::LogLevel ToTelemetry(settings::LogLevel level) {
  switch (level) {
    case settings::LogLevel::kDebug:
      return telemetry::LogLevel::kDebug;
    case settings::LogLevel::kInfo:
      return telemetry::LogLevel::kInfo;
    case settings::LogLevel::kWarn:
      return telemetry::LogLevel::kWarn;
    case settings::LogLevel::kError:
      return telemetry::LogLevel::kError;
  }
  return telemetry::LogLevel::kInfo;
}

std::string RoleOf(const settings::Settings& settings) {
  return std::visit(Overloaded{[](const settings::EntrySettings&) {
                                 return settings::kEntryRole;
                               },
                               [](const settings::AgentSettings&) {
                                 return settings::kAgentRole;
                               },
                               [](const settings::GatewaySettings&) {
                                 return settings::kGatewayRole;
                               },
                               [](const settings::ControlSettings&) {
                                 return settings::kControlRole;
                               },
                               [](const settings::SidecarSettings&) {
                                 return settings::kSidecarRole;
                               }},
                    settings.role)
      .data();
}

int RunRole(const settings::Settings& settings, const std::string& command) {
  const std::string role = RoleOf(settings);
  if (role != command) {
    std::cerr << command << ": " << FLAGS_settings << " is for the role \""
              << role << "\"\n";
    return 1;
  }
  auto output = telemetry::LogOutput::Open(
      {ToTelemetry(settings.common.log.level), settings.common.log.file});
  if (const auto* error = std::get_if<telemetry::LogError>(&output)) {
    std::cerr << command << ": can't open the log: " << error->what << "\n";
    return 1;
  }
  return std::visit(
      Overloaded{
          [&](const settings::EntrySettings& entry_settings) {
            return entry::RunEntry(settings.common, entry_settings);
          },
          [&](const settings::AgentSettings& agent_settings) {
            return agent::RunAgent(settings.common, agent_settings);
          },
          [&](const settings::GatewaySettings& gateway_settings) {
            return gateway::RunGateway(
                settings.common, gateway_settings, FLAGS_settings,
                {platform::PlatformHeaderNames(), platform::ReadConfiguration});
          },
          [&](const settings::ControlSettings& control_settings) {
            return control_node::RunControlNode(
                settings.common, control_settings,
                {platform::ReadConfiguration, platform::MakeControlHandler,
                 platform::MakeEngineProtocol()});
          },
          [&](const settings::SidecarSettings& sidecar_settings) {
            return sidecar::RunSidecar(settings.common, sidecar_settings,
                                       platform::MakeEngineProtocol());
          }},
      settings.role);
}

int RunWithSettings(const std::string& command) {
  if (FLAGS_settings.empty()) {
    std::cerr << command << ": --settings=FILE is missing\n";
    return kUsageError;
  }
  const settings::LoadResult loaded = settings::Load(FLAGS_settings);
  if (const auto* errors =
          std::get_if<std::vector<settings::SettingsError>>(&loaded)) {
    std::cerr << settings::ToString(*errors);
    return 1;
  }
  if (command == "check") {
    std::cout << FLAGS_settings << ": ok\n";
    return 0;
  }
  return RunRole(std::get<settings::Settings>(loaded), command);
}

int Run(int argc, char** argv) {
  if (argc < 2) {
    std::cerr << kUsage;
    return kUsageError;
  }
  const std::string command = argv[1];
  if (command == "help") {
    std::cout << kUsage;
    return 0;
  }
  if (command == "version") {
    std::cout << "bilberryspool " << BILBERRYSPOOL_VERSION << "\n";
    return 0;
  }
  const bool takes_settings =
      command == settings::kEntryRole || command == settings::kAgentRole ||
      command == settings::kGatewayRole || command == settings::kControlRole ||
      command == settings::kSidecarRole || command == "check";
  if (takes_settings) {
    return RunWithSettings(command);
  }
  if (command == "query") {
    return query::RunQuery({argv + 2, argv + argc});
  }
  std::cerr << "bilberryspool: no command \"" << command << "\"\n" << kUsage;
  return kUsageError;
}

}  // namespace
}  // namespace bilberryspool

int main(int argc, char** argv) {
  // The default grows with each long block that is freed, and such blocks stay
  // in the heap from then on.
  constexpr int kMmapThresholdBytes = 128 * 1024;
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  gflags::SetUsageMessage("bilberryspool COMMAND [flags]; see help");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  return bilberryspool::Run(argc, argv);
}
