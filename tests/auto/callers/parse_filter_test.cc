#include "plugins/callers/parse_filter.h"

#include <doctest/doctest.h>

#include <cstdlib>

#include "auto/callers/fake_exchange.h"
#include "libs/base/random.h"

namespace bilberryspool::callers {
namespace {

std::uint64_t SeedCount(std::uint64_t fallback) {
  const char* text = std::getenv("BILBERRYSPOOL_SEEDS");
  return text != nullptr ? std::strtoull(text, nullptr, 10) : fallback;
}

std::optional<FinalAnswer> RunFilter(const net::HttpHeaders& headers,
                                     const std::string& body) {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/v1/completions";
  request.headers = headers;
  request.body = body;
  FakeExchange exchange(request);
  RequestContext context(exchange);
  ParseFilter filter(NodeId("e"), 0, 1);
  return filter.Handle(context);
}

TEST_CASE("invalid values are rejected with a reason, as not run") {
  struct Row {
    const char* name;
    std::string value;
    const char* reason;
  };
  const Row rows[] = {
      {"Idempotency-Key", "", "bad-idempotency-key"},
      {"Idempotency-Key", std::string(129, 'x'), "bad-idempotency-key"},
      {"Idempotency-Key", "a b", "bad-idempotency-key"},
      {"Bilberryspool-Workspace", "a\tb", "bad-workspace"},
      {"Bilberryspool-Idempotent", "yes", "bad-idempotent-mark"},
      {"Bilberryspool-Priority", "urgent", "bad-priority"},
      {"Bilberryspool-Deadline-Ms", "0", "bad-deadline"},
      {"Bilberryspool-Deadline-Ms", "-1", "bad-deadline"},
      {"Bilberryspool-Deadline-Ms", "1e3", "bad-deadline"},
      {"Bilberryspool-Deadline-Ms", "99999999999999999999", "bad-deadline"}};
  for (const Row& row : rows) {
    CAPTURE(row.name);
    CAPTURE(row.value);
    net::HttpHeaders headers;
    headers.Add(row.name, row.value);
    const auto answer = RunFilter(headers, "{}");
    REQUIRE(answer.has_value());
    CHECK(answer->status == 400);
    CHECK(answer->kind == attempts::FinalKind::kNotRun);
    CHECK(answer->reason == row.reason);
  }
}

TEST_CASE("header fields and body of a request are parsed") {
  net::HttpRequest request;
  request.headers.Add("idempotency-key", "order-1");
  request.headers.Add("Bilberryspool-Workspace", "kiln");
  request.headers.Add("Bilberryspool-Idempotent", "false");
  request.headers.Add("Bilberryspool-Priority", "high");
  request.headers.Add("Bilberryspool-Deadline-Ms", "1500");
  request.body = R"({"model":"m","max_tokens":7,"prompt":"p"})";
  FakeExchange exchange(request);
  RequestContext context(exchange);
  ParseFilter filter(NodeId("e"), 0, 1);
  REQUIRE_FALSE(filter.Handle(context).has_value());
  CHECK(context.key.workspace == Workspace("kiln"));
  CHECK(context.key.request == RequestId("order-1"));
  CHECK(context.requested_idempotent == false);
  CHECK_FALSE(context.is_first_send);
  CHECK(context.requested_priority == limits::Priority::kHigh);
  CHECK(context.requested_timeout == Milliseconds(1500));
  CHECK(context.model == "m");
  CHECK(context.expected_tokens == 7);
}

// Guards against two requests without an id that count as one request because
// the entry generated the same id for both.
TEST_CASE("requests without an id get distinct ids") {
  ParseFilter filter(NodeId("e"), 0, 1);
  FakeExchange exchange(net::HttpRequest{});
  RequestContext first(exchange);
  RequestContext second(exchange);
  filter.Handle(first);
  filter.Handle(second);
  CHECK(first.key.request != second.key.request);
  CHECK(first.is_first_send);
}

// Guards against a request that is answered with the answer to another body
// under the same id because the fingerprint does not cover the difference.
TEST_CASE("the fingerprint covers method, target and body") {
  ParseFilter filter(NodeId("e"), 0, 1);
  const auto fingerprint = [&filter](const char* method, const char* target,
                                     const char* body) {
    net::HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    FakeExchange exchange(request);
    RequestContext context(exchange);
    filter.Handle(context);
    return context.fingerprint;
  };
  const auto base = fingerprint("POST", "/a", "x");
  CHECK(base == fingerprint("POST", "/a", "x"));
  CHECK(base != fingerprint("POST", "/a", "y"));
  CHECK(base != fingerprint("POST", "/b", "x"));
  CHECK(base != fingerprint("PUT", "/a", "x"));
}

TEST_CASE("random fields and bodies never crash the parser") {
  const char* const names[] = {
      "Idempotency-Key",           "traceparent",
      "Bilberryspool-Workspace",   "Bilberryspool-Priority",
      "Bilberryspool-Deadline-Ms",
  };
  constexpr std::string_view kLetters = "{}[]\":,0123456789eE.-modelpt \\u";
  const std::uint64_t seeds = SeedCount(2000);
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    Random random(seed);
    std::string value;
    std::string body = random.Chance(0.5) ? "{\"max_tokens\":" : "";
    for (std::uint64_t i = random.Below(60); i > 0; --i) {
      value += static_cast<char>(random.Below(256));
      body += kLetters[random.Below(kLetters.size())];
    }
    net::HttpHeaders headers;
    headers.Add(names[random.Below(std::size(names))], value);
    RunFilter(headers, body);
  }
}

}  // namespace
}  // namespace bilberryspool::callers
