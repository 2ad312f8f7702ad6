#include "plugins/control/claim_service.h"

#include "libs/attempts/messages_json.h"
#include "libs/base/json_reading.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::control {

using net::SteadyNow;

ClaimService::ClaimService(attempts::ClaimHolder holder)
    : holder_(std::move(holder)) {}

void ClaimService::Register(links::LinkServer& server) {
  server.Register("claims.claim",
                  [this](const Json& params) { return OnClaim(params); });
  server.Register("claims.release",
                  [this](const Json& params) { return OnRelease(params); });
  server.Register("claims.finish",
                  [this](const Json& params) { return OnFinish(params); });
  server.Register("claims.votes",
                  [this](const Json& params) { return OnCanVote(params); });
}

attempts::LedgerExport ClaimService::StopAndExport() {
  return holder_.StopAndExport(SteadyNow());
}

void ClaimService::AdoptRoster(attempts::RosterVersion version) {
  holder_.AdoptRoster(version);
}

std::optional<boost::json::value> ClaimService::OnClaim(const Json& params) {
  const auto request = attempts::FromJson<attempts::ClaimRequest>(params);
  if (!request.has_value()) {
    return std::nullopt;
  }
  return attempts::ToJson(holder_.Claim(*request, SteadyNow()));
}

std::optional<boost::json::value> ClaimService::OnRelease(const Json& params) {
  const auto release = attempts::FromJson<attempts::ReleaseClaim>(params);
  if (!release.has_value()) {
    return std::nullopt;
  }
  return attempts::ToJson(holder_.Release(*release, SteadyNow()));
}

std::optional<boost::json::value> ClaimService::OnFinish(const Json& params) {
  const auto finish = attempts::FromJson<attempts::FinishClaim>(params);
  if (!finish.has_value()) {
    return std::nullopt;
  }
  holder_.Finish(*finish, SteadyNow());
  return Json(true);
}

std::optional<boost::json::value> ClaimService::OnCanVote(
    const Json& params) const {
  const auto* object = params.if_object();
  const auto roster = object != nullptr
                          ? json_reading::Number(*object, "roster")
                          : std::nullopt;
  if (!roster.has_value()) {
    return std::nullopt;
  }
  return Json(holder_.CanVote(attempts::RosterVersion(*roster), SteadyNow()));
}

}  // namespace bilberryspool::control
