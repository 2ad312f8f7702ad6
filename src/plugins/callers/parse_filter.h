#ifndef PLUGINS_CALLERS_PARSE_FILTER_H_
#define PLUGINS_CALLERS_PARSE_FILTER_H_

#include <cstdint>
#include <optional>

#include "libs/base/random.h"
#include "plugins/callers/final_answer.h"
#include "plugins/callers/request_context.h"

namespace bilberryspool::callers {

// Parses the header fields and the body of a request into the context and
// validates their values. Sizes are limited by the server.
class ParseFilter {
 public:
  // `trace_permille`: number of requests out of 1000 without a traceparent that
  // are traced.
  ParseFilter(NodeId entry, std::uint32_t trace_permille, std::uint64_t seed);

  // Returns an answer if the request is malformed.
  std::optional<FinalAnswer> Handle(RequestContext& context);

 private:
  std::optional<FinalAnswer> ReadFields(RequestContext& context);
  void ReadBody(RequestContext& context);
  void StartTrace(RequestContext& context);

  NodeId entry_;
  std::uint32_t trace_permille_;
  Random random_;
  std::uint64_t generated_ids_ = 0;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_PARSE_FILTER_H_
