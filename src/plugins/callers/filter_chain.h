// Passes requests through the filters in their order.

#ifndef PLUGINS_CALLERS_FILTER_CHAIN_H_
#define PLUGINS_CALLERS_FILTER_CHAIN_H_

#include <memory>

#include "plugins/callers/account_filter.h"
#include "plugins/callers/admit_filter.h"
#include "plugins/callers/authenticate_filter.h"
#include "plugins/callers/caller_state.h"
#include "plugins/callers/classify_filter.h"
#include "plugins/callers/parse_filter.h"

namespace bilberryspool::callers {

// Runs each request through the filters, then through a RequestRunner, and
// accounts for it.
class FilterChain {
 public:
  // `spans` may be null; no traces are written then.
  FilterChain(CallerState& state,
              ClassifyOptions options,
              std::uint32_t trace_permille,
              telemetry::SpanWriter* spans,
              std::uint64_t seed);

  // Serves one request until its final answer.
  void Handle(net::HttpExchange& exchange);

 private:
  // Returns the final answer if a filter ends the request.
  std::optional<FinalAnswer> RunFilters(RequestContext& context,
                                        CallerWatch& watch);

  CallerState& state_;
  ParseFilter parse_;
  AuthenticateFilter authenticate_;
  ClassifyFilter classify_;
  AdmitFilter admit_;
  AccountFilter account_;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_FILTER_CHAIN_H_
