#include "tools/routing_bench/batch_server.h"

#include <algorithm>

namespace bilberryspool::routing_bench {
namespace {

constexpr std::size_t kCachedPrefixes = 24;
// Share of the prefill time that is saved when all of a prompt's prefixes are
// cached.
constexpr double kCachedPrefillSaving = 0.7;
constexpr Duration kFailureDelay = Milliseconds(5);

// The time to the first token is about three times as long without a cached
// prefix as with one. The tolerance is larger than that, so that the limit
// doesn't take a cache miss for queueing.
limits::AdaptiveLimitOptions AgentLimitOptions() {
  limits::AdaptiveLimitOptions options;
  options.tolerance = 4.0;
  return options;
}

Duration Scale(Duration duration, double factor) {
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(duration.count()) * factor));
}

}  // namespace

BatchServer::BatchServer(EventLoop& loop, const ServiceModel& model)
    : loop_(loop), model_(model), limit_(AgentLimitOptions(), model.slots) {}

void BatchServer::Submit(Job job) {
  if (dead_) {
    return;
  }
  if (agent_queue_.size() >= limit_.limit()) {
    job.on_end(routing::AttemptOutcome::kRefusedBusy);
    return;
  }
  agent_queue_.push_back(std::move(job));
  FeedEngine();
}

void BatchServer::Cancel(const AttemptId& attempt) {
  const auto same = [&](const Job& job) { return job.attempt == attempt; };
  for (std::deque<Job>* queue : {&agent_queue_, &engine_queue_}) {
    queue->erase(std::remove_if(queue->begin(), queue->end(), same),
                 queue->end());
  }
  running_.erase(attempt);
  engine_started_at_.erase(attempt);
  StartNext();
  FeedEngine();
}

void BatchServer::set_dead(bool dead) {
  dead_ = dead;
  agent_queue_.clear();
  engine_queue_.clear();
  engine_started_at_.clear();
  running_.clear();
  cached_.clear();
}

routing::LoadReport BatchServer::load() const {
  routing::LoadReport report;
  report.running = static_cast<std::uint32_t>(engine_started_at_.size());
  report.queued = static_cast<std::uint32_t>(agent_queue_.size());
  report.limit = static_cast<std::uint32_t>(limit_.limit());
  return report;
}

void BatchServer::FeedEngine() {
  while (!agent_queue_.empty() && engine_started_at_.size() < limit_.limit()) {
    engine_started_at_.emplace(agent_queue_.front().attempt, loop_.now());
    engine_queue_.push_back(std::move(agent_queue_.front()));
    agent_queue_.pop_front();
    StartNext();
  }
}

void BatchServer::StartNext() {
  while (!engine_queue_.empty() && running_.size() < model_.slots) {
    const Job job = std::move(engine_queue_.front());
    engine_queue_.pop_front();
    Start(job);
  }
}

void BatchServer::OnFirstToken(const AttemptId& attempt) {
  const auto found = running_.find(attempt);
  if (found == running_.end()) {
    return;
  }
  limit_.Observe(loop_.now() - engine_started_at_.at(attempt),
                 engine_started_at_.size(), loop_.now());
  found->second.on_first_token();
}

void BatchServer::Start(const Job& job) {
  const AttemptId attempt = job.attempt;
  running_.emplace(attempt, job);
  if (failing_) {
    loop_.After(kFailureDelay, [this, attempt] {
      End(attempt, routing::AttemptOutcome::kFailed);
    });
    return;
  }
  const double saved_share = kCachedPrefillSaving * Touch(job.prefixes);
  const Duration first = Scale(model_.prefill, (1.0 - saved_share) * slowdown_);
  const Duration decode = Scale(model_.per_token, job.tokens * slowdown_);
  loop_.After(first, [this, attempt] { OnFirstToken(attempt); });
  loop_.After(first + decode, [this, attempt] {
    End(attempt, routing::AttemptOutcome::kSucceeded);
  });
}

void BatchServer::End(const AttemptId& attempt,
                      routing::AttemptOutcome outcome) {
  const auto found = running_.find(attempt);
  if (found == running_.end()) {
    return;
  }
  const Job job = std::move(found->second);
  running_.erase(found);
  engine_started_at_.erase(attempt);
  job.on_end(outcome);
  StartNext();
  FeedEngine();
}

double BatchServer::Touch(const std::vector<std::uint64_t>& prefixes) {
  double hits = 0.0;
  for (const std::uint64_t prefix : prefixes) {
    const auto found = std::find(cached_.begin(), cached_.end(), prefix);
    if (found != cached_.end()) {
      hits += 1.0;
      cached_.erase(found);
    }
    cached_.push_front(prefix);
  }
  if (cached_.size() > kCachedPrefixes) {
    cached_.resize(kCachedPrefixes);
  }
  return prefixes.empty() ? 0.0 : hits / static_cast<double>(prefixes.size());
}

}  // namespace bilberryspool::routing_bench
