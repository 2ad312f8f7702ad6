// Load generator for the demo and the benchmark on loopback, with a limited
// rate and duration.

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <sstream>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "tools/load/load_generator.h"

DEFINE_string(entries, "127.0.0.1:8080", "addresses with ports, by comma");
DEFINE_string(path, "/v1/completions", "path of the requests");
DEFINE_string(model, "drafter", "model that is asked for");
DEFINE_double(rate, 100.0, "requests per second");
DEFINE_uint32(duration_ms, 5000, "how long to send");
DEFINE_uint32(in_progress, 512, "bound on requests in progress");
DEFINE_uint32(tokens, 16, "tokens per answer");
DEFINE_bool(stream, true, "ask for streamed answers");
DEFINE_bool(idempotent, true, "mark the requests idempotent");
DEFINE_uint32(workspaces, 10, "workspaces w0, w1, ...");
DEFINE_uint64(seed, 1, "seed of arrivals; also part of the request ids");

int main(int argc, char** argv) {
  namespace load = bilberryspool::load;
  namespace net = bilberryspool::net;
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  load::LoadOptions options;
  std::stringstream list(FLAGS_entries);
  for (std::string item; std::getline(list, item, ',');) {
    const auto endpoint = net::ParseEndpoint(item);
    if (!endpoint.has_value()) {
      std::cerr << "load: not an address with a port: " << item << "\n";
      return 1;
    }
    options.entries.push_back(*endpoint);
  }
  options.path = FLAGS_path;
  options.model = FLAGS_model;
  options.requests_per_second = FLAGS_rate;
  options.duration = bilberryspool::Milliseconds(FLAGS_duration_ms);
  options.max_in_progress = FLAGS_in_progress;
  options.tokens = FLAGS_tokens;
  options.is_stream = FLAGS_stream;
  options.is_idempotent = FLAGS_idempotent;
  options.workspaces = FLAGS_workspaces;
  options.seed = FLAGS_seed;
  net::NetworkLoop loop;
  int status = 0;
  loop.Run([&] {
    const bilberryspool::TimePoint started = net::SteadyNow();
    load::LoadGenerator generator(loop, options);
    const load::LoadReport report = generator.Run();
    report.Print(std::cout, net::SteadyNow() - started);
    status = report.wrong_answers() == 0 ? 0 : 2;
  });
  return status;
}
