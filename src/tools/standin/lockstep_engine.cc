#include "tools/standin/lockstep_engine.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "libs/net/network_loop.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::standin {

namespace json = boost::json;
using net::HttpExchange;

namespace {

constexpr Duration kPollInterval = Milliseconds(2);
constexpr int kConflict = 409;
// Tokens per step of the most popular expert.
constexpr std::uint64_t kHotExpertTokens = 1000;

std::uint64_t NumberField(const json::object& body, const char* key) {
  const json::value* value = body.if_contains(key);
  return value != nullptr && value->is_int64()
             ? static_cast<std::uint64_t>(value->as_int64())
             : 0;
}

void RespondJson(HttpExchange& exchange, int status, const json::object& body) {
  net::HttpResponseHead head;
  head.status = status;
  head.headers.Add("Content-Type", "application/json");
  exchange.Respond(std::move(head), json::serialize(body));
}

json::object ParseBody(HttpExchange& exchange) {
  boost::system::error_code error;
  json::value value = json::parse(exchange.request().body, error);
  const bool is_object = !error && value.is_object();
  return is_object ? std::move(value.as_object()) : json::object();
}

}  // namespace

LockstepEngine::LockstepEngine(net::NetworkLoop& loop,
                               EngineModel& model,
                               LockstepOptions options)
    : loop_(loop), model_(model), options_(options) {}

bool LockstepEngine::Handle(HttpExchange& exchange) {
  const std::string target = exchange.request().target;
  if (target == "/steps") {
    net::HttpResponseHead head;
    head.headers.Add("Content-Type", "text/plain");
    exchange.Respond(std::move(head), started_steps_);
    return true;
  }
  if (target == "/v1/reset") {
    Reset(exchange, ParseBody(exchange));
    return true;
  }
  if (target == "/v1/weights") {
    Weights(exchange, ParseBody(exchange));
    return true;
  }
  if (target == "/v1/steps") {
    Step(exchange, ParseBody(exchange));
    return true;
  }
  if (target == "/v1/steps/abort") {
    Abort(exchange, ParseBody(exchange));
    return true;
  }
  return false;
}

void LockstepEngine::SleepThroughStall(Duration duration) {
  loop_.SleepFor(duration);
  while (model_.is_stalled()) {
    loop_.SleepFor(kPollInterval);
  }
}

bool LockstepEngine::IsStale(const json::object& body) const {
  return model_.options().checks_fencing &&
         NumberField(body, "incarnation") < incarnation_;
}

void LockstepEngine::Reset(HttpExchange& exchange, const json::object& body) {
  if (IsStale(body)) {
    RespondJson(exchange, kConflict, {{"accepted", false}});
    return;
  }
  incarnation_ = NumberField(body, "incarnation");
  ++aborts_;
  while (running_steps_ > 0 || model_.is_stalled()) {
    loop_.SleepFor(kPollInterval);
  }
  RespondJson(exchange, 200, {{"resident", json::array()}});
}

void LockstepEngine::Weights(HttpExchange& exchange, const json::object& body) {
  if (IsStale(body)) {
    RespondJson(exchange, kConflict, {{"accepted", false}});
    return;
  }
  const json::value* action = body.if_contains("action");
  if (action != nullptr && *action == "fetch") {
    SleepThroughStall(options_.fetch_time);
  }
  RespondJson(exchange, 200, {{"accepted", true}});
}

void LockstepEngine::Step(HttpExchange& exchange, const json::object& body) {
  const std::uint64_t token = NumberField(body, "token");
  const bool is_refused = incarnation_ == 0 || IsStale(body) ||
                          !model_.AcceptOrder(FencingToken(token));
  if (is_refused) {
    RespondJson(exchange, kConflict, {{"accepted", false}});
    return;
  }
  started_steps_ += std::to_string(token) + "." +
                    std::to_string(NumberField(body, "sequence")) + "." +
                    std::to_string(NumberField(body, "number")) + " " +
                    std::to_string(NumberField(body, "map_version")) + "\n";
  const std::uint64_t aborts = aborts_;
  const TimePoint end = net::SteadyNow() + options_.step_time;
  ++running_steps_;
  while (net::SteadyNow() < end && aborts == aborts_) {
    SleepThroughStall(kPollInterval);
  }
  --running_steps_;
  finished_steps_ += aborts == aborts_ ? 1 : 0;
  RespondJson(exchange, 200, {{"finished", aborts == aborts_}});
}

json::object LockstepEngine::ExpertTotals() const {
  if (options_.layers == 0 || options_.experts == 0) {
    return {};
  }
  json::array tokens;
  for (std::uint32_t i = 0; i < options_.layers * options_.experts; ++i) {
    const std::uint32_t popularity_rank =
        (i + options_.experts - options_.hot_expert % options_.experts) %
        options_.experts;
    tokens.emplace_back(finished_steps_ *
                        (kHotExpertTokens / (popularity_rank + 1)));
  }
  return {{"layers", options_.layers},
          {"experts", options_.experts},
          {"tokens", std::move(tokens)}};
}

void LockstepEngine::Abort(HttpExchange& exchange, const json::object& body) {
  const bool is_accepted = !IsStale(body);
  if (is_accepted) {
    ++aborts_;
  }
  RespondJson(exchange, is_accepted ? 200 : kConflict,
              {{"accepted", is_accepted}});
}

}  // namespace bilberryspool::standin
