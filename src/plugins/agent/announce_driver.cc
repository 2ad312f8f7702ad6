#include "plugins/agent/announce_driver.h"

#include <algorithm>

#include "libs/base/overloaded.h"
#include "libs/membership/membership_codec.h"
#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::agent {

using net::SteadyNow;

namespace {

constexpr Duration kCallTimeout = Milliseconds(800);
constexpr Duration kMaxPause = Milliseconds(200);

}  // namespace

AnnounceDriver::AnnounceDriver(net::NetworkLoop& loop,
                               links::LinkClient& client,
                               membership::AnnouncerOptions options,
                               std::uint64_t seed)
    : loop_(loop),
      client_(client),
      announcer_(std::move(options), seed),
      log_("announce") {}

void AnnounceDriver::Start() {
  loop_.Spawn([this] { Run(); });
}

void AnnounceDriver::Run() {
  while (!announcer_.identity_lost()) {
    Handle(membership::AnnouncerTick{});
    const TimePoint now = SteadyNow();
    const TimePoint due = announcer_.next_deadline().value_or(now + kMaxPause);
    loop_.SleepFor(std::clamp(due - now, Milliseconds(1), kMaxPause));
  }
}

void AnnounceDriver::Handle(const membership::AnnouncerEvent& event) {
  for (const auto& action : announcer_.Handle(event, SteadyNow())) {
    Execute(action);
  }
}

void AnnounceDriver::Execute(const membership::AnnouncerAction& action) {
  std::visit(Overloaded{[this](const membership::SendAnnouncement& send) {
                          Send(send.entry, "membership.announce",
                               membership::ToJson(send.announcement));
                        },
                        [this](const membership::SendHeartbeat& send) {
                          Send(send.entry, "membership.heartbeat",
                               membership::ToJson(send.heartbeat));
                        },
                        [this](const membership::IdentityLost&) {
                          log_.Error(
                              "Another process has announced this target; no "
                              "longer announcing it.");
                        }},
             action);
}

void AnnounceDriver::Send(const std::string& entry,
                          const std::string& method,
                          const boost::json::value& params) {
  const auto endpoint = net::ParseEndpoint(entry);
  if (!endpoint.has_value()) {
    return;
  }
  loop_.Spawn([this, entry, endpoint, method, params] {
    auto result = client_.Call(*endpoint, method, params, kCallTimeout);
    if (const auto* error = std::get_if<links::LinkError>(&result)) {
      log_.Debug("An entry did not answer.",
                 {{"entry", entry}, {"error", error->text}});
      // The idle connections to an entry that does not answer may be dead, so
      // they are not reused.
      client_.DropIdle(*endpoint);
      return;
    }
    const auto reply =
        membership::AnnounceReplyFromJson(std::get<boost::json::value>(result));
    if (!reply.has_value()) {
      log_.Warn("The reply of an entry is malformed.", {{"entry", entry}});
      return;
    }
    if (last_entry_ != entry) {
      log_.Info("Announced.", {{"entry", entry}});
      last_entry_ = entry;
    }
    Handle(membership::ReplyReceived{entry, *reply});
  });
}

}  // namespace bilberryspool::agent
