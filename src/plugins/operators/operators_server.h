// HTTP server of an entry that answers operators' statements.
//
//   POST /statement   one statement as its body; header fields as in
//                     operator_headers.h
//   POST /log-level   "debug", "info", "warn" or "error" as its body
//   GET  /status      this entry's control replica, as JSON
//
// Only operators may use it: no request is answered without the credential, and
// none of these paths is served on the callers' address.

#ifndef PLUGINS_OPERATORS_OPERATORS_SERVER_H_
#define PLUGINS_OPERATORS_OPERATORS_SERVER_H_

#include <cstdint>
#include <memory>
#include <string>

#include "libs/settings/settings.h"

namespace bilberryspool::control {
class OperatorControl;
}
namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::operators {

// Belongs to the thread of `loop`; `settings` and `control` outlive it.
class OperatorsServer {
 public:
  OperatorsServer(net::NetworkLoop& loop,
                  const settings::EntrySettings& settings,
                  control::OperatorControl& control);
  ~OperatorsServer();
  OperatorsServer(const OperatorsServer&) = delete;
  OperatorsServer& operator=(const OperatorsServer&) = delete;

  // Reads the credential and starts to listen. Returns an empty string, or an
  // error message.
  std::string Start();

  // Takes no new connections; statements in progress are answered.
  void Drain();

  // The port that the server listens on; useful if the settings say 0.
  std::uint16_t port() const;

 private:
  struct Private;
  std::unique_ptr<Private> d_;
};

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_OPERATORS_SERVER_H_
