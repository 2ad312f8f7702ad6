// Operators: they change the configuration again and again, sometimes wrongly,
// and read it back anywhere.

#ifndef TOOLS_SOAK_OPERATOR_WORK_H_
#define TOOLS_SOAK_OPERATOR_WORK_H_

#include <cstdint>
#include <string>
#include <vector>

#include "libs/base/random.h"
#include "libs/net/http_client.h"
#include "libs/net/network_loop.h"
#include "libs/traffic/traffic_configuration.h"
#include "tools/soak/ledger.h"

namespace bilberryspool::soak {

struct OperatorWorkOptions {
  std::uint64_t seed = 1;
  std::vector<net::Endpoint> control;
  std::string host;
  std::string key;
  std::string workspace;
  Duration max_pause = Milliseconds(1500);
};

class OperatorWork {
 public:
  OperatorWork(net::NetworkLoop& loop,
               OperatorWorkOptions options,
               Ledger& ledger);

  // Returns once the next version is confirmed, or false after `patience`.
  bool Change(Duration timeout);
  // Changes, mistakes and reads until Stop().
  void Start();
  void Stop() { is_stopping_ = true; }
  bool has_ended() const { return running_ == 0; }
  // Reads at every node until each has answered; false after `patience`.
  bool ReadAll(Duration timeout);

 private:
  traffic::TrafficConfiguration MakeConfiguration(std::uint64_t version) const;
  void KeepChanging();
  void KeepReading();
  void TryInvalid();
  // Whether a version came back.
  bool ReadAt(const net::Endpoint& node);

  net::NetworkLoop& loop_;
  OperatorWorkOptions options_;
  Ledger& ledger_;
  Random random_;
  net::HttpClient client_;
  std::uint64_t version_ = 0;
  std::uint32_t running_ = 0;
  bool is_stopping_ = false;
};

}  // namespace bilberryspool::soak

#endif  // TOOLS_SOAK_OPERATOR_WORK_H_
