// A stand-in for a model engine or a plain service, for the demo, the benchmark
// and tests with real processes.

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>

#include "libs/net/network_loop.h"
#include "tools/standin/standin_server.h"

DEFINE_string(listen, "127.0.0.1:9000", "IP address and port to listen on");
DEFINE_string(model, "drafter", "model name in answers");
DEFINE_uint32(slots, 8, "streams that run at once");
DEFINE_uint32(first_token_us, 40000, "time to the first token, microseconds");
DEFINE_uint32(between_tokens_us, 5000, "time between tokens, microseconds");
DEFINE_uint32(report_lag_ms, 500, "how late load reports are");
DEFINE_bool(checks_fencing, true, "refuse orders with a stale fencing token");
DEFINE_uint32(step_us, 20000, "time of a lock-step step, microseconds");
DEFINE_uint32(fetch_us, 5000, "time to fetch an expert, microseconds");
DEFINE_uint32(layers, 0, "layers of the model; 0: no expert counts");
DEFINE_uint32(experts, 0, "experts of each layer");
DEFINE_uint32(hot_expert, 0, "the most popular expert of each layer");

int main(int argc, char** argv) {
  using bilberryspool::Microseconds;
  using bilberryspool::Milliseconds;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const auto listen = bilberryspool::net::ParseEndpoint(FLAGS_listen);
  if (!listen.has_value()) {
    std::cerr << "standin: not an address with a port: " << FLAGS_listen
              << "\n";
    return 1;
  }
  bilberryspool::standin::EngineOptions options;
  options.model = FLAGS_model;
  options.slots = FLAGS_slots;
  options.first_token = Microseconds(FLAGS_first_token_us);
  options.between_tokens = Microseconds(FLAGS_between_tokens_us);
  options.report_lag = Milliseconds(FLAGS_report_lag_ms);
  options.checks_fencing = FLAGS_checks_fencing;
  bilberryspool::standin::LockstepOptions lockstep;
  lockstep.step_time = Microseconds(FLAGS_step_us);
  lockstep.fetch_time = Microseconds(FLAGS_fetch_us);
  lockstep.layers = FLAGS_layers;
  lockstep.experts = FLAGS_experts;
  lockstep.hot_expert = FLAGS_hot_expert;
  bilberryspool::net::NetworkLoop loop;
  int status = 0;
  loop.Run([&] {
    bilberryspool::standin::StandinServer server(loop, *listen, options,
                                                 lockstep);
    const std::string error = server.Start();
    if (!error.empty()) {
      std::cerr << "standin: " << error << "\n";
      status = 1;
      return;
    }
    loop.OnStopSignal([&loop] { loop.Stop(); });
    loop.WaitForStop();
    server.Drain();
  });
  // Exits without closing streams in progress: they break off as with a killed
  // engine.
  std::_Exit(status);
}
