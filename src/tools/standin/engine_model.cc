#include "tools/standin/engine_model.h"

#include <algorithm>

namespace bilberryspool::standin {

EngineModel::EngineModel(EngineOptions options)
    : options_(std::move(options)) {}

void EngineModel::RecordRun(const RequestId& request) {
  ++runs_[request];
}

std::uint64_t EngineModel::runs(const RequestId& request) const {
  const auto found = runs_.find(request);
  return found == runs_.end() ? 0 : found->second;
}

bool EngineModel::TouchPrefix(const std::string& prefix) {
  const auto found = std::find(prefixes_.begin(), prefixes_.end(), prefix);
  const bool is_cached = found != prefixes_.end();
  if (is_cached) {
    prefixes_.erase(found);
  }
  prefixes_.push_back(prefix);
  if (prefixes_.size() > options_.cached_prefixes) {
    prefixes_.pop_front();
  }
  return is_cached;
}

Duration EngineModel::FirstTokenDelay(bool is_cached) const {
  constexpr int kCacheSpeedup = 4;
  return is_cached ? options_.first_token / kCacheSpeedup
                   : options_.first_token;
}

Duration EngineModel::TokenDelay() const {
  const double factor = 1.0 + options_.slowdown_per_stream * running_;
  return Duration(static_cast<Duration::rep>(
      static_cast<double>(options_.between_tokens.count()) * factor));
}

bool EngineModel::AcceptOrder(FencingToken token) {
  if (options_.checks_fencing && token < highest_token_) {
    return false;
  }
  highest_token_ = std::max(highest_token_, token);
  return true;
}

LoadReport EngineModel::CurrentLoad() const {
  return {running_, queued_, options_.slots, tokens_};
}

LoadReport EngineModel::ReportedLoad(TimePoint now) {
  samples_.push_back({now, CurrentLoad()});
  while (samples_.size() > 1 && samples_[1].time <= now - options_.report_lag) {
    samples_.pop_front();
  }
  return samples_.front().load;
}

std::string TokenAt(const std::string& prompt, std::uint64_t position) {
  constexpr std::uint64_t kOffset = 1469598103934665603ULL;
  constexpr std::uint64_t kPrime = 1099511628211ULL;
  std::uint64_t hash = kOffset;
  for (const unsigned char byte : prompt) {
    hash = (hash ^ byte) * kPrime;
  }
  hash = (hash ^ position) * kPrime;
  constexpr std::uint64_t kVocabularySize = 10000;
  return "w" + std::to_string(hash % kVocabularySize) + " ";
}

}  // namespace bilberryspool::standin
