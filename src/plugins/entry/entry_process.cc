#include "plugins/entry/entry_process.h"

#include <cstdlib>
#include <iostream>
#include <memory>
#include <optional>

#include "libs/net/network_loop.h"
#include "libs/telemetry/metrics.h"
#include "libs/telemetry/open_spans.h"
#include "plugins/callers/callers_service.h"
#include "plugins/control/control_process.h"
#include "plugins/operators/operators_server.h"

namespace bilberryspool::entry {

int RunEntry(const settings::CommonSettings& common,
             const settings::EntrySettings& settings) {
  const auto loaded =
      net::LoadAuthenticator(common.deployment, common.node, common.key_file);
  if (const auto* error = std::get_if<std::string>(&loaded)) {
    std::cerr << "entry: " << *error << "\n";
    return 1;
  }
  const auto& authenticator =
      std::get<std::shared_ptr<const net::LinkAuthenticator>>(loaded);
  telemetry::Registry metrics;
  std::optional<telemetry::SpanWriter> spans = telemetry::OpenSpanWriter(
      common.trace.file, "bilberryspool-entry", common.node.value());
  net::NetworkLoop loop;
  callers::CallersService callers(loop, common, settings, authenticator,
                                  metrics,
                                  spans.has_value() ? &*spans : nullptr);
  control::ControlProcess control(common, settings, authenticator, metrics,
                                  [&callers](control::ControlFeed&& feed) {
                                    return callers.TakeFeed(std::move(feed));
                                  });
  callers.SetReporter([&control](control::CallerReport&& report) {
    control.EnqueueReport(std::move(report));
  });
  std::unique_ptr<operators::OperatorsServer> operators;
  control.SetOperators(
      [&](net::NetworkLoop& control_loop, control::OperatorControl& view) {
        operators = std::make_unique<operators::OperatorsServer>(
            control_loop, settings, view);
        return operators->Start();
      });
  const std::string control_error = control.Start();
  if (!control_error.empty()) {
    std::cerr << "entry: " << control_error << "\n";
    std::_Exit(1);
  }
  loop.Run([&] {
    const std::string error = callers.Start();
    if (!error.empty()) {
      std::cerr << "entry: " << error << "\n";
      std::_Exit(1);
    }
    int signals = 0;
    loop.OnStopSignal([&loop, &signals] {
      ++signals;
      if (signals > 1) {
        std::_Exit(0);
      }
      loop.Stop();
    });
    loop.WaitForStop();
    control.StartDraining();
    callers.Drain(settings.drain_grace);
    if (spans.has_value()) {
      spans->Stop();
    }
    // Exits without waiting for fibers that still wait for peers.
    std::_Exit(0);
  });
  return 0;
}

}  // namespace bilberryspool::entry
