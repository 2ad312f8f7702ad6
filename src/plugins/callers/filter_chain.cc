#include "plugins/callers/filter_chain.h"

#include "libs/net/steady_time.h"
#include "plugins/callers/request_runner.h"

namespace bilberryspool::callers {

using net::SteadyNow;

namespace {

// Whether an earlier send with the same id may have run. A refusal by a filter
// then does not prove that the request did not run: a caller could otherwise
// get the answer "not-run" for work that its first send carried out.
bool MayHaveRunBefore(const RequestContext& context) {
  const bool is_idempotent = context.service.value().empty()
                                 ? context.requested_idempotent.value_or(false)
                                 : context.is_idempotent;
  return context.has_caller_id && !context.is_first_send && !is_idempotent;
}

}  // namespace

FilterChain::FilterChain(CallerState& state,
                         ClassifyOptions options,
                         std::uint32_t trace_permille,
                         telemetry::SpanWriter* spans,
                         std::uint64_t seed)
    : state_(state),
      parse_(state.self, trace_permille, seed),
      authenticate_(state.services),
      classify_(state.services, options),
      admit_(state.admission),
      account_(state.metrics, spans) {}

void FilterChain::Handle(net::HttpExchange& exchange) {
  state_.Beat();
  RequestContext context(exchange);
  context.arrived = SteadyNow();
  auto watch = std::make_shared<CallerWatch>();
  exchange.NotifyOnDisconnect([watch] { watch->OnCallerDisconnected(); });
  auto answer = RunFilters(context, *watch);
  if (answer.has_value() && MayHaveRunBefore(context)) {
    answer->kind = attempts::FinalKind::kUnknown;
  }
  if (answer.has_value()) {
    context.outcome = ToString(answer->kind);
    context.reason = answer->reason;
    context.status = answer->status;
    Respond(exchange, *answer);
  } else if (context.has_caller_disconnected) {
    context.outcome = ToString(attempts::FinalKind::kNotRun);
    context.reason = "caller-left";
    exchange.AbortStream();
  } else {
    std::make_shared<RequestRunner>(state_, context, watch)->Run();
  }
  if (context.is_admitted) {
    state_.admission.Finish(context, context.expected_tokens);
  }
  const TimePoint now = SteadyNow();
  account_.Handle(context, now, net::WallNanoseconds());
  if (state_.report) {
    state_.report({context.service, context.key.request,
                   context.outcome + " (" + context.reason + "), status " +
                       std::to_string(context.status) + ", " +
                       std::to_string(context.attempts) + " attempts, " +
                       std::to_string(static_cast<int>(
                           ToMilliseconds(now - context.arrived))) +
                       " ms"});
  }
}

std::optional<FinalAnswer> FilterChain::RunFilters(RequestContext& context,
                                                   CallerWatch& watch) {
  if (auto answer = parse_.Handle(context)) {
    return answer;
  }
  if (auto answer = authenticate_.Handle(context)) {
    return answer;
  }
  if (auto answer = classify_.Handle(context)) {
    return answer;
  }
  return admit_.Handle(context, watch);
}

}  // namespace bilberryspool::callers
