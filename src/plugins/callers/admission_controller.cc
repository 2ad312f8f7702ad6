#include "plugins/callers/admission_controller.h"

#include <algorithm>

#include "libs/base/overloaded.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::callers {

using net::SteadyNow;

namespace {

constexpr Duration kMaxPause = Milliseconds(20);

}  // namespace

AdmissionController::AdmissionController(net::NetworkLoop& loop,
                                         limits::AdmissionOptions options,
                                         std::uint64_t seed)
    : loop_(loop), admission_(options, seed) {}

void AdmissionController::Start() {
  loop_.Spawn([this] { Run(); });
}

void AdmissionController::Run() {
  while (true) {
    const TimePoint now = SteadyNow();
    const auto due = admission_.next_deadline();
    if (due.has_value() && *due <= now) {
      Handle(limits::Tick{});
    }
    // Without waiting requests there is nothing to do, so the next check may
    // come later.
    const Duration pause = waiters_.empty() ? Milliseconds(100) : kMaxPause;
    loop_.SleepFor(pause);
  }
}

limits::AdmissionId AdmissionController::NextId() {
  last_id_ = limits::AdmissionId(last_id_.value() + 1);
  return last_id_;
}

std::vector<limits::WorkspaceDemand> AdmissionController::AnnounceDemand() {
  return admission_.AnnounceDemand(SteadyNow());
}

std::optional<limits::Refuse> AdmissionController::Wait(
    RequestContext& context) {
  limits::RequestArrived arrival;
  arrival.id = context.admission;
  arrival.service = context.service;
  arrival.workspace = context.key.workspace;
  arrival.priority = context.priority;
  arrival.deadline = context.deadline;
  arrival.expected_tokens = context.expected_tokens;
  auto waiter = std::make_shared<Waiter>();
  waiters_[context.admission] = waiter;
  Handle(arrival);
  while (!waiter->is_resolved) {
    waiter->signal.Wait();
  }
  waiters_.erase(context.admission);
  return waiter->refusal;
}

void AdmissionController::Abandon(limits::AdmissionId id) {
  if (!waiters_.contains(id)) {
    return;
  }
  Handle(limits::RequestAbandoned{id});
  Resolve(id, std::nullopt);
}

void AdmissionController::Finish(const RequestContext& context,
                                 std::uint32_t tokens) {
  Handle(limits::RequestFinished{context.admission, tokens});
}

void AdmissionController::Handle(const limits::AdmissionEvent& event) {
  for (const auto& action : admission_.Handle(event, SteadyNow())) {
    std::visit(Overloaded{[this](const limits::Admit& admit) {
                            Resolve(admit.id, std::nullopt);
                          },
                          [this](const limits::Refuse& refusal) {
                            Resolve(refusal.id, refusal);
                          }},
               action);
  }
}

void AdmissionController::Resolve(limits::AdmissionId id,
                                  std::optional<limits::Refuse> refusal) {
  const auto found = waiters_.find(id);
  if (found == waiters_.end() || found->second->is_resolved) {
    return;
  }
  found->second->is_resolved = true;
  found->second->refusal = std::move(refusal);
  found->second->signal.NotifyAll();
}

}  // namespace bilberryspool::callers
