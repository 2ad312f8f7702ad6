// The final answers that are not the engine's own.

#ifndef PLUGINS_CALLERS_FINAL_ANSWER_H_
#define PLUGINS_CALLERS_FINAL_ANSWER_H_

#include <string>
#include <string_view>

#include "libs/attempts/request_action.h"
#include "libs/base/time.h"
#include "libs/limits/admission_action.h"
#include "libs/net/http_server.h"

namespace bilberryspool::callers {

// What a caller is told instead of an answer of the engine.
struct FinalAnswer {
  int status = 503;
  attempts::FinalKind kind = attempts::FinalKind::kNotRun;
  // A word for programs, such as "no-target"; goes into Bilberryspool-Reason.
  std::string reason;
  // Zero: sending again makes no sense as it is.
  Duration retry_after{};
};

std::string_view ToString(attempts::FinalKind kind);
std::string_view ToString(attempts::FinalReason reason);

FinalAnswer MakeFinalAnswer(const attempts::AnswerCaller& answer);
FinalAnswer MakeFinalAnswer(const limits::Refuse& refusal);
// The request itself is at fault; it was not run.
FinalAnswer MakeRejection(int status, std::string reason);

// Writes the answer, whole; false where the caller is gone.
bool Respond(net::HttpExchange& exchange, const FinalAnswer& answer);

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_FINAL_ANSWER_H_
