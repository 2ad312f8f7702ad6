// Drives the membership directory of an entry over its links.

#ifndef PLUGINS_CONTROL_DIRECTORY_DRIVER_H_
#define PLUGINS_CONTROL_DIRECTORY_DRIVER_H_

#include <boost/json/value.hpp>
#include <functional>
#include <optional>
#include <vector>

#include "libs/links/link_client.h"
#include "libs/links/link_server.h"
#include "libs/membership/directory.h"
#include "libs/telemetry/log.h"
#include "plugins/control/control_feed.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::control {

// Runs in the control loop.
class DirectoryDriver {
 public:
  DirectoryDriver(net::NetworkLoop& loop,
                  links::LinkClient& client,
                  membership::DirectoryOptions options,
                  std::uint64_t seed);

  // Called when a target was added, was removed or changed its state.
  void SetOnTargetChanged(std::function<void()> on_changed) {
    on_target_changed_ = std::move(on_changed);
  }

  // Registers the methods that agents and peers call.
  void Register(links::LinkServer& server);
  // Starts the fiber that ticks the directory.
  void Start();

  const membership::Directory& directory() const { return directory_; }

  // The current targets in the form that routing uses.
  TargetsUpdate MakeTargetsUpdate(TimePoint now) const;

 private:
  using Json = boost::json::value;

  void Run();
  // Carries out the actions; returns the reply to the calling agent, if any.
  std::optional<membership::AnnounceReply> Handle(
      const membership::DirectoryEvent& event);
  void Execute(const membership::DirectoryAction& action,
               std::optional<membership::AnnounceReply>* reply);
  void SendToPeer(const membership::SendToPeer& send);
  std::optional<Json> OnAnnounce(const Json& params);
  std::optional<Json> OnHeartbeat(const Json& params);
  std::optional<Json> OnGossip(const Json& params);

  net::NetworkLoop& loop_;
  links::LinkClient& client_;
  membership::Directory directory_;
  std::function<void()> on_target_changed_;
  telemetry::Logger log_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_DIRECTORY_DRIVER_H_
