// The control thread of an entry: links to peers and agents, membership,
// votes on claims, and, with a data folder, a control replica.

#ifndef PLUGINS_CONTROL_CONTROL_PROCESS_H_
#define PLUGINS_CONTROL_CONTROL_PROCESS_H_

#include <functional>
#include <memory>
#include <string>

#include "libs/net/link_authenticator.h"
#include "libs/settings/settings.h"
#include "plugins/control/control_feed.h"

namespace bilberryspool::telemetry {
class Registry;
}

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::control {

class OperatorControl;

class ControlProcess {
 public:
  // Called on the control thread for each update; returns false where the
  // ring to the callers thread was full, and is asked again soon.
  using PushFeed = std::function<bool(ControlFeed&&)>;

  ControlProcess(const settings::CommonSettings& common,
                 const settings::EntrySettings& settings,
                 std::shared_ptr<const net::LinkAuthenticator> authenticator,
                 telemetry::Registry& metrics,
                 PushFeed push);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  // Called on the control thread at its start, before peers are served: the
  // operators' server, which this plugin does not depend on. Returns an empty
  // string, or why it can't start.
  using StartOperators =
      std::function<std::string(net::NetworkLoop&, OperatorControl&)>;
  void SetOperators(StartOperators start);

  // Starts the thread. Empty, or why it can't start.
  std::string Start();

  // From the callers thread. False where the ring is full: the report is lost,
  // which only operators who ask why can notice, and counted.
  bool EnqueueReport(CallerReport&& report);

  // From any thread: readiness goes first, then peers are told.
  void StartDraining();

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_CONTROL_PROCESS_H_
