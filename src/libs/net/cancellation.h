#ifndef LIBS_NET_CANCELLATION_H_
#define LIBS_NET_CANCELLATION_H_

#include <functional>
#include <utility>

namespace bilberryspool::net {

// Forwards a cancellation to the operation that is in progress. Belongs to one
// loop's thread.
class Cancellation {
 public:
  void Cancel() {
    is_cancelled_ = true;
    if (on_cancel_) {
      on_cancel_();
    }
  }

  bool is_cancelled() const { return is_cancelled_; }

  // Replaces the handler that Cancel() calls; an empty function removes it.
  void SetHandler(std::function<void()> on_cancel) {
    on_cancel_ = std::move(on_cancel);
  }

 private:
  bool is_cancelled_ = false;
  std::function<void()> on_cancel_;
};

}  // namespace bilberryspool::net

#endif  // LIBS_NET_CANCELLATION_H_
