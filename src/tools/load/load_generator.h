// An open-loop load: requests arrive at a set rate, whatever the answers do,
// up to a bound on those in progress.

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

  // Sends for the whole duration, waits for the rest and reports. Runs in a
  // fiber.
  LoadReport Run();

 private:
  net::HttpRequest MakeRequest(std::uint64_t number) const;
  CallResult Call(std::uint64_t number);
  CallResult ReadAnswer(net::HttpClientStream& stream,
                        const std::string& prompt,
                        TimePoint started);
  bool IsComplete(const std::string& body, const std::string& prompt) const;

  net::NetworkLoop& loop_;
  LoadOptions options_;
  net::HttpClient client_;
  Random random_;
};

}  // namespace bilberryspool::load

#endif  // TOOLS_LOAD_LOAD_GENERATOR_H_
