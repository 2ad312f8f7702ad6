#ifndef PLUGINS_CALLERS_PARSE_FILTER_H_
#define PLUGINS_CALLERS_PARSE_FILTER_H_

#include <cstdint>
#include <optional>

#include "libs/base/random.h"
#include "plugins/callers/final_answer.h"
#include "plugins/callers/request_context.h"

namespace bilberryspool::callers {

// Reads the fields and the body of a request into the context. Bounds on sizes
// are the server's; here the values are checked.
class ParseFilter {
 public:
  // `trace_permille`: of 1000 requests without a traceparent, how many are
  // traced.
  ParseFilter(NodeId entry, std::uint32_t trace_permille, std::uint64_t seed);

  // The answer where the request is malformed.
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
