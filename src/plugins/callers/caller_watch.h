#ifndef PLUGINS_CALLERS_CALLER_WATCH_H_
#define PLUGINS_CALLERS_CALLER_WATCH_H_

#include <functional>
#include <utility>

namespace bilberryspool::callers {

// Tells whichever stage a request is in that its caller left.
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
  // Replaces the handler; an empty one detaches.
  void SetHandler(std::function<void()> handler) {
    handler_ = std::move(handler);
  }

 private:
  bool has_disconnected_ = false;
  std::function<void()> handler_;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_CALLER_WATCH_H_
