// The state of one request while it passes the filters.

#ifndef PLUGINS_CALLERS_REQUEST_CONTEXT_H_
#define PLUGINS_CALLERS_REQUEST_CONTEXT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/attempts/attempt_ids.h"
#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/limits/admission_event.h"
#include "libs/limits/priority.h"
#include "libs/net/http_server.h"
#include "libs/telemetry/trace_context.h"

namespace bilberryspool::callers {

struct RequestContext {
  explicit RequestContext(net::HttpExchange& http) : exchange(http) {}

  net::HttpExchange& exchange;
  TimePoint arrived;

  // Set by the parse filter.
  attempts::RequestKey key;
  attempts::Fingerprint fingerprint;
  bool has_caller_id = false;
  bool is_first_send = false;
  std::optional<bool> requested_idempotent;
  std::optional<Duration> requested_timeout;
  std::optional<limits::Priority> requested_priority;
  telemetry::TraceContext trace;
  std::optional<telemetry::SpanId> parent_span;
  std::string model;
  std::uint32_t expected_tokens = 0;
  std::vector<std::uint64_t> prefix_hashes;

  // Set by the classify filter.
  ServiceId service;
  bool is_idempotent = true;
  limits::Priority priority = limits::Priority::kNormal;
  TimePoint deadline;

  // Set by the admit filter.
  limits::AdmissionId admission;
  bool is_admitted = false;

  // For accounting.
  std::optional<TimePoint> first_byte;
  std::size_t attempts = 0;
  std::string outcome;
  std::string reason;
  int status = 0;
  std::uint64_t bytes = 0;
  bool has_caller_disconnected = false;
};

}  // namespace bilberryspool::callers

#endif  // PLUGINS_CALLERS_REQUEST_CONTEXT_H_
