// Joins the admission decision with the fibers of the requests that wait.

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

// Runs in the callers loop.
class AdmissionController {
 public:
  AdmissionController(net::NetworkLoop& loop,
                      limits::AdmissionOptions options,
                      std::uint64_t seed);

  // Starts the fiber that ends hopeless waits.
  void Start();

  // Waits until the request may run. The refusal, or nothing where it is
  // admitted or its caller left.
  std::optional<limits::Refuse> Wait(RequestContext& context);
  // The caller of a waiting request left.
  void Abandon(limits::AdmissionId id);
  // The admitted request ended.
  void Finish(const RequestContext& context, std::uint32_t tokens);
  // Hands an event to the decision and wakes whom it concerns.
  void Handle(const limits::AdmissionEvent& event);

  // What this entry's callers ask for, for the other entries.
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
