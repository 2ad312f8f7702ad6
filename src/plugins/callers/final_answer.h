// Final answers that do not come from the engine.

#ifndef PLUGINS_CALLERS_FINAL_ANSWER_H_
#define PLUGINS_CALLERS_FINAL_ANSWER_H_

#include <string>
#include <string_view>

#include "libs/attempts/request_action.h"
#include "libs/base/time.h"
#include "libs/limits/admission_action.h"
#include "libs/net/http_server.h"

namespace bilberryspool::callers {

// The answer that a caller gets instead of an answer of the engine.
struct FinalAnswer {
  int status = 503;
  attempts::FinalKind kind = attempts::FinalKind::kNotRun;
  // Machine-readable reason such as "no-target"; sent in Bilberryspool-Reason.
  std::string reason;
  // Zero: there is no point in a retry of the unchanged request.
  Duration retry_after{};
};

std::string_view ToString(attempts::FinalKind kind);
std::string_view ToString(attempts::FinalReason reason);

FinalAnswer MakeFinalAnswer(const attempts::AnswerCaller& answer);
FinalAnswer MakeFinalAnswer(const limits::Refuse& refusal);
// The request is rejected before it ran, for a reason other than load.
FinalAnswer MakeRejection(int status, std::string reason);

// Writes the complete answer. Returns false if the caller has disconnected.
bool Respond(net::HttpExchange& exchange, const FinalAnswer& answer);

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_FINAL_ANSWER_H_
