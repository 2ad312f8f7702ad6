// Simulated operators: they change the configuration repeatedly, sometimes with
// invalid changes, and read it back from any control node.

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

  // Submits the next version until it is confirmed; false after `timeout`, or
  // if it was refused.
  bool Change(Duration timeout);
  // Submits valid and invalid changes and reads until Stop().
  void Start();
  void Stop() { is_stopping_ = true; }
  bool has_ended() const { return running_ == 0; }
  // Reads from each node until all have answered; false after `timeout`.
  bool ReadAll(Duration timeout);

 private:
  traffic::TrafficConfiguration MakeConfiguration(std::uint64_t version) const;
  void KeepChanging();
  void KeepReading();
  void TryInvalid();
  // Whether the node answered with a version.
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
