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
  // Called on the control thread for each update; returns false if the ring to
  // the callers thread is full. A newer update follows soon in that case.
  using PushFeed = std::function<bool(ControlFeed&&)>;

  ControlProcess(const settings::CommonSettings& common,
                 const settings::EntrySettings& settings,
                 std::shared_ptr<const net::LinkAuthenticator> authenticator,
                 telemetry::Registry& metrics,
                 PushFeed push);
  ~ControlProcess();
  ControlProcess(const ControlProcess&) = delete;
  ControlProcess& operator=(const ControlProcess&) = delete;

  // Starts the operators' server; a callback, so that this plugin does not
  // depend on it. Called on the control thread before Start() returns. Returns
  // an empty string, or why the server can't start.
  using StartOperators =
      std::function<std::string(net::NetworkLoop&, OperatorControl&)>;
  void SetOperators(StartOperators start);

  // Starts the thread. Returns an empty string, or why it can't start.
  std::string Start();

  // Called from the callers thread. Returns false if the ring is full: the
  // report is dropped and counted, which affects only answers to `why`.
  bool EnqueueReport(CallerReport&& report);

  // Callable from any thread. Stops voting on claims, stores the ledger, then
  // transfers leadership and stops the replica.
  void StartDraining();

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_CONTROL_PROCESS_H_
