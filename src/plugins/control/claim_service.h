// Serves the votes of this entry's claim holder on claims of non-idempotent
// requests to the other entries.

#ifndef PLUGINS_CONTROL_CLAIM_SERVICE_H_
#define PLUGINS_CONTROL_CLAIM_SERVICE_H_

#include <boost/json/value.hpp>
#include <optional>

#include "libs/attempts/claim_holder.h"
#include "libs/links/link_server.h"

namespace bilberryspool::control {

// Runs in the control loop.
class ClaimService {
 public:
  explicit ClaimService(attempts::ClaimHolder holder);

  void Register(links::LinkServer& server);
  // Only while the present holder has not voted yet.
  void ReplaceHolder(attempts::ClaimHolder holder) {
    holder_ = std::move(holder);
  }
  // Stops voting permanently and returns the ledger of claims.
  attempts::LedgerExport StopAndExport();
  void AdoptRoster(attempts::RosterVersion version);

  const attempts::ClaimHolder& holder() const { return holder_; }

 private:
  using Json = boost::json::value;

  std::optional<Json> OnClaim(const Json& params);
  std::optional<Json> OnRelease(const Json& params);
  std::optional<Json> OnFinish(const Json& params);
  // {"roster": VERSION}: whether this holder votes on claims under that roster.
  std::optional<Json> OnCanVote(const Json& params) const;

  attempts::ClaimHolder holder_;
};

}  // namespace bilberryspool::control

#endif  // PLUGINS_CONTROL_CLAIM_SERVICE_H_
