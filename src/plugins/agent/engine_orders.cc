#include "plugins/agent/engine_orders.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include "libs/net/network_loop.h"

namespace bilberryspool::agent {

namespace json = boost::json;

namespace {

constexpr Duration kRetryDelay = Milliseconds(200);
constexpr Duration kResetTimeout = Seconds(5);
constexpr Duration kFetchTimeout = Seconds(30);
constexpr Duration kShortTimeout = Seconds(1);
// Longer than any stall from which an engine recovers by itself.
constexpr Duration kStepTimeout = Seconds(60);

json::object ToJson(const placement::ExpertKey& key) {
  return {{"layer", key.layer.value()}, {"expert", key.expert.value()}};
}

}  // namespace

EngineOrders::EngineOrders(net::NetworkLoop& loop,
                           net::Endpoint engine,
                           Incarnation incarnation,
                           OnEvent on_event,
                           OnLost on_lost)
    : loop_(loop),
      engine_(std::move(engine)),
      incarnation_(incarnation),
      on_event_(std::move(on_event)),
      on_lost_(std::move(on_lost)),
      client_(loop, net::OptionsForReports()) {}

void EngineOrders::Enqueue(Job job) {
  jobs_.push_back(std::move(job));
  if (is_busy_) {
    return;
  }
  is_busy_ = true;
  loop_.Spawn([self = shared_from_this()] {
    while (!self->jobs_.empty() && !self->is_closed_) {
      const Job next = std::move(self->jobs_.front());
      self->jobs_.pop_front();
      next();
    }
    self->is_busy_ = false;
  });
}

void EngineOrders::Report(const groups::RankEvent& event) {
  if (!is_closed_) {
    on_event_(event);
  }
}

std::optional<json::object> EngineOrders::Post(const std::string& path,
                                               json::object body,
                                               Duration timeout) {
  body["incarnation"] = incarnation_.value();
  net::HttpRequest request;
  request.method = "POST";
  request.target = path;
  request.headers.Add("Content-Type", "application/json");
  request.body = json::serialize(body);
  auto result = client_.Send(engine_, request, timeout);
  const auto* response = std::get_if<net::HttpResponse>(&result);
  if (response == nullptr) {
    client_.DropIdle(engine_);
    return std::nullopt;
  }
  boost::system::error_code error;
  json::value value = json::parse(response->body, error);
  if (response->head.status != 200 || error || !value.is_object()) {
    return std::nullopt;
  }
  return std::move(value.as_object());
}

// The engine's report of its resident weights is not used: only the orders of
// the agent determine which weights are resident.
void EngineOrders::Reset() {
  Enqueue([this] {
    while (!is_closed_ && !Post("/v1/reset", {}, kResetTimeout)) {
      loop_.SleepFor(kRetryDelay);
    }
    Report(groups::EngineReset{});
  });
}

void EngineOrders::Fetch(const placement::ExpertKey& key) {
  Enqueue([this, key] {
    json::object body = ToJson(key);
    body["action"] = "fetch";
    if (Post("/v1/weights", std::move(body), kFetchTimeout)) {
      Report(groups::WeightsFetched{key});
    } else {
      Report(groups::FetchFailed{key});
    }
  });
}

void EngineOrders::Drop(const std::vector<placement::ExpertKey>& keys) {
  json::array experts;
  for (const placement::ExpertKey& key : keys) {
    experts.push_back(ToJson(key));
  }
  Enqueue([this, experts = std::move(experts)] {
    // If it fails, the weights only occupy memory until the next reset.
    Post("/v1/weights", {{"action", "drop"}, {"experts", experts}},
         kShortTimeout);
  });
}

void EngineOrders::Start(const groups::StartStep& start) {
  running_step_ = start.step;
  loop_.Spawn([self = shared_from_this(), start] { self->RunStep(start); });
}

void EngineOrders::RunStep(const groups::StartStep& start) {
  const groups::StepId& step = start.step;
  const auto answer = Post("/v1/steps",
                           {{"token", step.view.token.value()},
                            {"sequence", step.view.sequence},
                            {"number", step.number},
                            {"map_version", start.map_version.value()}},
                           kStepTimeout);
  running_step_.reset();
  const auto* finished = answer ? answer->if_contains("finished") : nullptr;
  if (finished == nullptr || !finished->is_bool()) {
    if (!is_closed_) {
      on_lost_("the engine did not answer a step");
    }
    return;
  }
  if (finished->as_bool()) {
    Report(groups::StepFinished{step});
  } else {
    Report(groups::StepAborted{step});
  }
}

void EngineOrders::Abort(const groups::StepId& step) {
  loop_.Spawn([self = shared_from_this(), step] {
    while (!self->is_closed_ && self->running_step_ == step) {
      self->Post("/v1/steps/abort", {}, kShortTimeout);
      self->loop_.SleepFor(kRetryDelay);
    }
  });
}

}  // namespace bilberryspool::agent
