#include "plugins/callers/parse_filter.h"

#include <xxhash.h>

#include <algorithm>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>

#include "libs/net/http_status.h"
#include "plugins/callers/request_headers.h"

namespace bilberryspool::callers {

namespace json = boost::json;

namespace {

constexpr std::size_t kMaxIdLength = 128;
constexpr std::size_t kMaxDeadlineMs = 24UL * 3600 * 1000;
constexpr std::uint32_t kMaxExpectedTokens = 1U << 20U;
// Prompt prefixes of these lengths, in bytes, are hashed for cache-aware
// routing.
constexpr std::size_t kPrefixSteps[] = {256, 1024, 4096, 16384};

bool IsPlainText(std::string_view text) {
  return std::all_of(text.begin(), text.end(), [](unsigned char letter) {
    return letter > ' ' && letter < 127;
  });
}

bool IsId(std::string_view text) {
  return !text.empty() && text.size() <= kMaxIdLength && IsPlainText(text);
}

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

std::optional<bool> ParseBool(std::string_view text) {
  if (text == "true") {
    return true;
  }
  if (text == "false") {
    return false;
  }
  return std::nullopt;
}

std::optional<limits::Priority> ParsePriority(std::string_view text) {
  if (text == "background") {
    return limits::Priority::kBackground;
  }
  if (text == "normal") {
    return limits::Priority::kNormal;
  }
  if (text == "high") {
    return limits::Priority::kHigh;
  }
  return std::nullopt;
}

std::uint64_t Hash(std::string_view text, std::uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace

ParseFilter::ParseFilter(NodeId entry,
                         std::uint32_t trace_permille,
                         std::uint64_t seed)
    : entry_(std::move(entry)),
      trace_permille_(trace_permille),
      random_(seed) {}

std::optional<FinalAnswer> ParseFilter::Handle(RequestContext& context) {
  if (auto refusal = ReadFields(context)) {
    return refusal;
  }
  ReadBody(context);
  StartTrace(context);
  return std::nullopt;
}

std::optional<FinalAnswer> ParseFilter::ReadFields(RequestContext& context) {
  const net::HttpHeaders& headers = context.exchange.request().headers;
  const auto workspace = headers.ValueOr(kWorkspaceHeader, "default");
  if (!IsId(workspace)) {
    return MakeRejection(net::status::kBadRequest, "bad-workspace");
  }
  context.key.workspace = Workspace(std::string(workspace));
  const auto id = headers.Find(kRequestIdHeader);
  context.has_caller_id = id.has_value();
  if (id.has_value() && !IsId(*id)) {
    return MakeRejection(net::status::kBadRequest, "bad-idempotency-key");
  }
  context.key.request =
      RequestId(id.has_value() ? std::string(*id)
                               : entry_.value() + "-" +
                                     std::to_string(random_.Below(~0ULL)) +
                                     "-" + std::to_string(++generated_ids_));
  if (const auto mark = headers.Find(kIdempotentHeader)) {
    context.requested_idempotent = ParseBool(*mark);
    if (!context.requested_idempotent.has_value()) {
      return MakeRejection(net::status::kBadRequest, "bad-idempotent-mark");
    }
  }
  context.is_first_send =
      !context.has_caller_id || headers.ValueOr(kFirstSendHeader, "") == "true";
  if (const auto priority = headers.Find(kPriorityHeader)) {
    context.requested_priority = ParsePriority(*priority);
    if (!context.requested_priority.has_value()) {
      return MakeRejection(net::status::kBadRequest, "bad-priority");
    }
  }
  if (const auto deadline = headers.Find(kDeadlineHeader)) {
    const auto milliseconds = ParseNumber(*deadline);
    const bool is_valid = milliseconds.has_value() && *milliseconds > 0 &&
                          *milliseconds <= kMaxDeadlineMs;
    if (!is_valid) {
      return MakeRejection(net::status::kBadRequest, "bad-deadline");
    }
    context.requested_timeout =
        Milliseconds(static_cast<std::int64_t>(*milliseconds));
  }
  return std::nullopt;
}

// Reads only what routing uses; the engine validates the body.
void ParseFilter::ReadBody(RequestContext& context) {
  const net::HttpRequest& request = context.exchange.request();
  const std::uint64_t path_hash = Hash(request.method + request.target, 0);
  context.fingerprint = attempts::Fingerprint(Hash(request.body, path_hash));
  boost::system::error_code error;
  const json::value value = json::parse(request.body, error);
  if (error || !value.is_object()) {
    return;
  }
  const json::object& body = value.as_object();
  if (const auto* model = body.if_contains("model")) {
    context.model = model->is_string() ? std::string(model->as_string()) : "";
  }
  if (const auto* tokens = body.if_contains("max_tokens")) {
    const std::int64_t count = tokens->is_int64() ? tokens->as_int64() : 0;
    context.expected_tokens = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, kMaxExpectedTokens));
  }
  const auto* prompt = body.if_contains("prompt");
  if (prompt == nullptr) {
    prompt = body.if_contains("messages");
  }
  if (prompt == nullptr) {
    return;
  }
  const std::string text = json::serialize(*prompt);
  const std::uint64_t model_hash = Hash(context.model, 0);
  for (const std::size_t step : kPrefixSteps) {
    if (text.size() < step) {
      break;
    }
    context.prefix_hashes.push_back(
        Hash(std::string_view(text).substr(0, step), model_hash));
  }
}

void ParseFilter::StartTrace(RequestContext& context) {
  const auto parent =
      telemetry::ParseTraceparent(context.exchange.request().headers.ValueOr(
          telemetry::kTraceparentHeader, ""));
  if (parent.has_value()) {
    context.parent_span = parent->span_id;
    context.trace = telemetry::ChildOf(*parent, random_);
    return;
  }
  constexpr std::uint64_t kPermille = 1000;
  const bool is_sampled = random_.Below(kPermille) < trace_permille_;
  context.trace = telemetry::NewTrace(random_, is_sampled);
}

}  // namespace bilberryspool::callers
