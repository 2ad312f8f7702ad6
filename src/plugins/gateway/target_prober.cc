#include "plugins/gateway/target_prober.h"

#include <utility>

#include "libs/net/http_status.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::gateway {

using net::SteadyNow;
using traffic::ProbeResult;
using traffic::VmChange;

TargetProber::TargetProber(net::NetworkLoop& loop, telemetry::Registry& metrics)
    : loop_(loop),
      sent_(metrics.CounterFor({"bilberryspool_target_probes_total",
                                "Probes sent to the VMs of silent targets"})),
      log_("prober") {}

void TargetProber::Connect(
    std::shared_ptr<const net::LinkAuthenticator> authenticator,
    std::uint16_t port) {
  client_.emplace(loop_, std::move(authenticator));
  port_ = port;
}

void TargetProber::OnSent(const TargetId& target,
                          const net::Endpoint& endpoint,
                          TimePoint now) {
  sidecars_[target] = {endpoint.address, port_};
  probes_.OnSent(target, now);
}

void TargetProber::OnBytesReceived(const TargetId& target, TimePoint now) {
  Log(target, probes_.OnBytesReceived(target, now));
}

void TargetProber::OnEnded(const TargetId& target, TimePoint now) {
  if (probes_.OnEnded(target, now)) {
    sidecars_.erase(target);
  }
}

void TargetProber::Tick(TimePoint now) {
  if (!client_.has_value()) {
    return;
  }
  for (const auto& probe : probes_.Tick(now)) {
    const net::Endpoint sidecar = sidecars_.at(probe.target);
    loop_.Spawn([this, probe, sidecar] { Probe(probe, sidecar); });
  }
}

void TargetProber::Probe(const traffic::TargetProbes::DueProbe& probe,
                         const net::Endpoint& sidecar) {
  sent_.Add();
  const ProbeResult result = Send(sidecar);
  const TimePoint now = SteadyNow();
  Log(probe.target, probes_.OnProbeEnded(probe, result, now));
  // The next probe may be due; there is no time to wait for the next tick.
  Tick(now);
}

// A sidecar that does not know the request passes it on to its engine and
// answers for it, so that any other status says nothing about the VM.
ProbeResult TargetProber::Send(const net::Endpoint& sidecar) {
  const auto result = client_->Send(sidecar, sidecar::MakeLivenessRequest(),
                                    probes_.answer_timeout());
  if (const auto* response = std::get_if<net::HttpResponse>(&result)) {
    return response->head.status == net::status::kOk ? ProbeResult::kAnswered
                                                     : ProbeResult::kNoEvidence;
  }
  client_->DropIdle(sidecar);
  const auto& error = std::get<net::HttpError>(result);
  return error.kind == net::HttpErrorKind::kTimeout ? ProbeResult::kUnanswered
                                                    : ProbeResult::kNoEvidence;
}

void TargetProber::Log(const TargetId& target, VmChange change) {
  switch (change) {
    case VmChange::kNone:
      return;
    case VmChange::kUnresponsive:
      log_.Warn("The VM of a target does not respond.",
                {{"target", target.value()}});
      return;
    case VmChange::kRespondingAgain:
      log_.Info("The VM of a target responds again.",
                {{"target", target.value()}});
      return;
  }
}

}  // namespace bilberryspool::gateway
