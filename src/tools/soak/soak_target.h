// A target inside the soak process: announces itself, runs requests behind a
// relay and reports each run to the ledger. After a restart it has a new name.

#ifndef TOOLS_SOAK_SOAK_TARGET_H_
#define TOOLS_SOAK_SOAK_TARGET_H_

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "libs/net/http_client.h"
#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"
#include "libs/traffic/header_names.h"
#include "libs/traffic/target_announcement.h"
#include "tools/blackhole/relay.h"
#include "tools/soak/ledger.h"

namespace bilberryspool::soak {

struct SoakTargetOptions {
  std::uint32_t number = 0;
  ServiceId service;
  bool is_engine = false;  // streams events
  net::Endpoint listen;
  net::Endpoint advertise;  // address of its relay
  std::vector<net::Endpoint> control;
  std::uint32_t events = 20;
  Duration event_gap = Milliseconds(25);
  Duration plain_work = Milliseconds(60);
  Duration announcement_interval = Milliseconds(300);
};

class SoakTarget {
 public:
  SoakTarget(net::NetworkLoop& loop,
             SoakTargetOptions options,
             const traffic::HeaderNames& dialect,
             Ledger& ledger);

  // Returns an error message, empty on success.
  std::string Start();

  blackhole::Relay& relay() { return relay_; }
  // Resets and refuses connections and stops announcing, without notice.
  void Crash();
  // Starts the next incarnation, under a new name.
  void Restart();
  // Announces that it leaves, continues to serve for the drain time, and
  // withdraws.
  void Drain();
  // Withdraws without having announced it, continues to serve for a while
  // without announcing itself again, and starts anew. Returns once the
  // withdrawal was acknowledged or was given up.
  void WithdrawFirst();

 private:
  void AnnouncePeriodically();
  // Calls the control nodes in turn until one accepts the call, and tells the
  // ledger then.
  void SendDeparture(const net::HttpRequest& call);
  // Sends the call to a control node; whether it was accepted. After a failure
  // the next call goes to the next node.
  bool SendToControl(const net::HttpRequest& call);
  void Handle(net::HttpExchange& exchange);
  void Run(net::HttpExchange& exchange);
  net::HttpResponseHead SignedHead(const net::HttpRequest& request) const;
  void StreamEvents(net::HttpExchange& exchange, std::uint32_t incarnation);

  net::NetworkLoop& loop_;
  SoakTargetOptions options_;
  const traffic::HeaderNames& dialect_;
  Ledger& ledger_;
  net::HttpClient client_;
  net::HttpServer server_;
  blackhole::Relay relay_;
  traffic::TargetAnnouncement announcement_;
  std::size_t control_index_ = 0;
  std::uint32_t incarnation_ = 0;
  bool is_alive_ = true;
  bool has_withdrawn_ = false;
};

}  // namespace bilberryspool::soak

#endif  // TOOLS_SOAK_SOAK_TARGET_H_
