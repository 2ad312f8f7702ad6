// Runs the announcer of an agent over its links.

#ifndef PLUGINS_AGENT_ANNOUNCE_DRIVER_H_
#define PLUGINS_AGENT_ANNOUNCE_DRIVER_H_

#include <string>

#include "libs/links/link_client.h"
#include "libs/membership/announcer.h"
#include "libs/net/fiber_signal.h"
#include "libs/telemetry/log.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::agent {

// Used in the agent's loop only.
class AnnounceDriver {
 public:
  AnnounceDriver(net::NetworkLoop& loop,
                 links::LinkClient& client,
                 membership::AnnouncerOptions options,
                 std::uint64_t seed);

  // Starts the fiber that passes ticks to the announcer.
  void Start();
  void Handle(const membership::AnnouncerEvent& event);

  bool identity_lost() const { return announcer_.identity_lost(); }
  bool leaving_confirmed() const { return announcer_.leaving_confirmed(); }
  // The entry that answered last; empty before the first answer.
  const std::string& last_entry() const { return last_entry_; }

 private:
  void Run();
  void Execute(const membership::AnnouncerAction& action);
  void Send(const std::string& entry,
            const std::string& method,
            const boost::json::value& params);

  net::NetworkLoop& loop_;
  links::LinkClient& client_;
  membership::Announcer announcer_;
  telemetry::Logger log_;
  std::string last_entry_;
};

}  // namespace bilberryspool::agent

#endif  // PLUGINS_AGENT_ANNOUNCE_DRIVER_H_
