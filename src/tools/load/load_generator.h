// An open-loop load generator: sends requests at a fixed mean rate, independent
// of the answers, up to a maximum number in progress.

#ifndef TOOLS_LOAD_LOAD_GENERATOR_H_
#define TOOLS_LOAD_LOAD_GENERATOR_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/net/endpoint.h"
#include "libs/net/http_client.h"
#include "tools/load/load_report.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::load {

// `tokens` is the length of each answer, `timeout` the maximum wait for an
// answer to start and for each of its pieces.
struct LoadOptions {
  std::vector<net::Endpoint> entries;
  std::string path = "/v1/completions";
  std::string model = "drafter";
  double requests_per_second = 100.0;
  Duration duration = Seconds(5);
  std::uint32_t max_in_progress = 512;
  std::int64_t tokens = 16;
  bool is_stream = true;
  bool is_idempotent = true;
  std::uint32_t workspaces = 10;
  Duration timeout = Seconds(30);
  std::uint64_t seed = 1;
};

class LoadGenerator {
 public:
  LoadGenerator(net::NetworkLoop& loop, LoadOptions options);

  // Sends requests for the configured duration, waits for those in progress and
  // returns the report. Must run in a fiber.
  LoadReport Run();

 private:
  net::HttpRequest MakeRequest(std::uint64_t number) const;
  CallResult Call(std::uint64_t number);
  CallResult ReadAnswer(net::HttpClientStream& stream,
                        const std::string& prompt,
                        TimePoint started);
  // Whether the body holds all tokens of the answer to `prompt`, in order.
  bool IsComplete(const std::string& body, const std::string& prompt) const;

  net::NetworkLoop& loop_;
  LoadOptions options_;
  net::HttpClient client_;
  Random random_;
};

}  // namespace bilberryspool::load

#endif  // TOOLS_LOAD_LOAD_GENERATOR_H_
