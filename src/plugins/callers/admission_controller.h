// Connects limits::Admission with the fibers of the requests that wait for
// admission.

#ifndef PLUGINS_CALLERS_ADMISSION_CONTROLLER_H_
#define PLUGINS_CALLERS_ADMISSION_CONTROLLER_H_

#include <memory>
#include <optional>
#include <unordered_map>

#include "libs/limits/admission.h"
#include "libs/net/fiber_signal.h"
#include "plugins/callers/request_context.h"

namespace bilberryspool::net {
class NetworkLoop;
}

namespace bilberryspool::callers {

// Used in the callers loop only.
class AdmissionController {
 public:
  AdmissionController(net::NetworkLoop& loop,
                      limits::AdmissionOptions options,
                      std::uint64_t seed);

  // Starts the fiber that refuses waiting requests once they have expired.
  void Start();

  // Suspends the fiber until the request may run. Returns the refusal, or
  // nothing if the request was admitted or its caller disconnected.
  std::optional<limits::Refuse> Wait(RequestContext& context);
  // Ends the wait of a request whose caller has disconnected.
  void Abandon(limits::AdmissionId id);
  // To be called when an admitted request has ended.
  void Finish(const RequestContext& context, std::uint32_t tokens);
  // Passes an event to the admission and wakes the fibers of the requests that
  // it admits or refuses.
  void Handle(const limits::AdmissionEvent& event);

  // The demand of the callers of this entry, to be sent to the other entries.
  std::vector<limits::WorkspaceDemand> AnnounceDemand();

  limits::AdmissionId NextId();
  const limits::Admission& admission() const { return admission_; }

 private:
  struct Waiter {
    net::FiberSignal signal;
    bool is_resolved = false;
    std::optional<limits::Refuse> refusal;
  };

  void Resolve(limits::AdmissionId id, std::optional<limits::Refuse> refusal);
  void Run();

  net::NetworkLoop& loop_;
  limits::Admission admission_;
  limits::AdmissionId last_id_;
  std::unordered_map<limits::AdmissionId, std::shared_ptr<Waiter>> waiters_;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_ADMISSION_CONTROLLER_H_
