#ifndef PLUGINS_CALLERS_CALLER_WATCH_H_
#define PLUGINS_CALLERS_CALLER_WATCH_H_

#include <functional>
#include <utility>

namespace bilberryspool::callers {

// Notifies the stage that a request is in when its caller disconnects.
class CallerWatch {
 public:
  // Called by the connection.
  void OnCallerDisconnected() {
    has_disconnected_ = true;
    if (handler_) {
      handler_();
    }
  }
  bool has_disconnected() const { return has_disconnected_; }
  // Replaces the handler; an empty handler removes it.
  void SetHandler(std::function<void()> handler) {
    handler_ = std::move(handler);
  }

 private:
  bool has_disconnected_ = false;
  std::function<void()> handler_;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_CALLER_WATCH_H_
