// Simulated callers that send one call after the other on persistent
// connections and sometimes cancel a call early.

#ifndef TOOLS_SOAK_SOAK_CALLERS_H_
#define TOOLS_SOAK_SOAK_CALLERS_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/net/http_client.h"
#include "libs/net/network_loop.h"
#include "libs/traffic/header_names.h"
#include "tools/soak/ledger.h"

namespace bilberryspool::soak {

struct SoakCallersOptions {
  std::uint64_t seed = 1;
  std::uint32_t callers = 12;
  std::vector<net::Endpoint> gateways;
  std::string host;
  std::string key;
  std::string workspace;
  Duration max_pause = Milliseconds(120);
  Duration timeout = Milliseconds(4000);
  // Probability that a caller cancels a stream before it is complete.
  double cancel_probability = 0.04;
};

class SoakCallers {
 public:
  SoakCallers(net::NetworkLoop& loop,
              SoakCallersOptions options,
              const traffic::HeaderNames& dialect,
              Ledger& ledger);

  void Start();
  // Starts no further call.
  void Stop() { is_stopping_ = true; }
  bool has_ended() const { return running_ == 0; }

 private:
  void RunCaller(std::uint32_t number);
  CallSent MakeCall(std::uint32_t caller, Random& random);
  net::HttpRequest MakeRequest(const CallSent& call) const;
  CallEnded Call(net::HttpClient& client,
                 const net::Endpoint& gateway,
                 const CallSent& call,
                 bool cancels_early);
  CallEnded ReadAnswer(net::HttpClientStream& stream,
                       const CallSent& call,
                       bool cancels_early);

  net::NetworkLoop& loop_;
  SoakCallersOptions options_;
  const traffic::HeaderNames& dialect_;
  Ledger& ledger_;
  std::uint64_t calls_ = 0;
  std::uint32_t running_ = 0;
  bool is_stopping_ = false;
};

}  // namespace bilberryspool::soak

#endif  // TOOLS_SOAK_SOAK_CALLERS_H_
