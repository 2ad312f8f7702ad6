#include "plugins/gateway/quarantine_guard.h"

#include <boost/json/object.hpp>
#include <utility>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"
#include "libs/quarantine/quarantine_codec.h"

namespace bilberryspool::gateway {

namespace {

// The requests of one target break within this time.
constexpr Duration kGathering = Milliseconds(3);

quarantine::QuarantineViewOptions MakeOptions() {
  quarantine::QuarantineViewOptions options;
  options.own.max_entries = 512;
  return options;
}

}  // namespace

QuarantineGuard::QuarantineGuard(net::NetworkLoop& loop)
    : loop_(loop), view_(MakeOptions()) {}

void QuarantineGuard::OnTermination(const quarantine::TerminationObserved& end,
                                    TimePoint now) {
  view_.OnTermination(end, now);
  Tell(end);
}

void QuarantineGuard::OnCompleted(const quarantine::RequestFingerprint& request,
                                  TimePoint now) {
  if (view_.OnCompleted(request, now)) {
    Tell(quarantine::CompletionObserved{request, Duration::zero()});
  }
}

void QuarantineGuard::OnTrialOver(const quarantine::RequestFingerprint& request,
                                  const std::string& asker) {
  view_.OnTrialOver({request, asker});
  Tell(quarantine::TrialOver{request, asker});
}

bool QuarantineGuard::TryTrial(const quarantine::RequestFingerprint& request,
                               const std::string& asker) {
  if (view_.any_reachable()) {
    const std::string key = request.ToText();
    const auto answer = links_.ask_one(
        key, "quarantine.trial",
        boost::json::object{
            {"request", key},
            {"asker", asker},
            {"reports", quarantine::ToJson(view_.OwnTerminationsOf(
                            request, net::SteadyNow()))}});
    if (answer.has_value()) {
      return answer->is_bool() && answer->as_bool();
    }
  }
  return view_.TryTrial(request, asker, net::SteadyNow());
}

void QuarantineGuard::Adopt(
    const std::string& source,
    const std::vector<quarantine::QuarantineRecord>& records,
    bool is_whole,
    TimePoint now) {
  for (const auto& completion : view_.Adopt(source, records, is_whole, now)) {
    Tell(completion);
  }
}

void QuarantineGuard::TellAgain(TimePoint now) {
  for (const quarantine::TerminationObserved& end :
       view_.OwnTerminations(now)) {
    Tell(end);
  }
}

void QuarantineGuard::Tell(quarantine::Observation observation) {
  untold_.push_back(std::move(observation));
  if (untold_.size() > 1) {
    return;
  }
  loop_.Spawn([this] {
    loop_.SleepFor(kGathering);
    links_.tell_all("quarantine.report",
                    quarantine::ToJson(std::exchange(untold_, {})));
  });
}

}  // namespace bilberryspool::gateway
