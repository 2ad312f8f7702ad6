#include "plugins/callers/agent_registry.h"

#include <charconv>

#include "libs/net/steady_time.h"

namespace bilberryspool::callers {

using attempts::AdmissionToken;
using net::SteadyNow;

namespace {

// Well below the time for which an agent's gate accepts a token.
constexpr Duration kMaxTokenAge = Seconds(8);
constexpr Duration kTokenTimeout = Milliseconds(700);

std::optional<std::uint64_t> ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (error != std::errc() || end != text.data() + text.size()) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::optional<AdmissionToken> ParseToken(std::string_view text) {
  const std::size_t first = text.find('.');
  const std::size_t last = text.rfind('.');
  if (first == std::string_view::npos || first == last) {
    return std::nullopt;
  }
  const auto incarnation = ParseNumber(text.substr(0, first));
  const auto generation = ParseNumber(text.substr(first + 1, last - first - 1));
  const auto epoch = ParseNumber(text.substr(last + 1));
  if (!incarnation || !generation || !epoch) {
    return std::nullopt;
  }
  return AdmissionToken{Incarnation(*incarnation),
                        attempts::TokenGeneration(*generation),
                        attempts::Epoch(*epoch)};
}

void AgentRegistry::Adopt(const std::vector<control::TargetRow>& targets) {
  std::map<TargetId, Row> rows;
  for (const control::TargetRow& target : targets) {
    Row& row = rows[target.view.target];
    // A restarted agent cannot assert that work sent under a token of the
    // process before it has not run; such an attempt would end with its outcome
    // unknown.
    const auto known = rows_.find(target.view.target);
    const bool is_same = known != rows_.end() &&
                         known->second.endpoint == target.agent &&
                         known->second.incarnation == target.incarnation;
    if (is_same) {
      row = known->second;
    }
    row.endpoint = target.agent;
    row.incarnation = target.incarnation;
  }
  rows_ = std::move(rows);
}

std::optional<net::Endpoint> AgentRegistry::Find(const TargetId& target) const {
  const auto found = rows_.find(target);
  if (found == rows_.end()) {
    return std::nullopt;
  }
  return found->second.endpoint;
}

void AgentRegistry::RecordToken(const TargetId& target,
                                std::string_view text,
                                TimePoint now) {
  const auto found = rows_.find(target);
  const auto token = ParseToken(text);
  if (!token.has_value() || found == rows_.end()) {
    return;
  }
  Row& row = found->second;
  if (!row.token.has_value() || !(*token < *row.token)) {
    row.token = token;
    row.received_at = now;
  }
}

std::optional<AdmissionToken> AgentRegistry::FreshToken(
    const TargetId& target) {
  const auto found = rows_.find(target);
  if (found == rows_.end()) {
    return std::nullopt;
  }
  const Row& row = found->second;
  const bool is_fresh =
      row.token.has_value() && SteadyNow() - row.received_at < kMaxTokenAge;
  if (is_fresh) {
    return row.token;
  }
  // A copy, as the registry may change while this fiber waits.
  const net::Endpoint endpoint = row.endpoint;
  const auto token = RequestToken(endpoint);
  const auto present = rows_.find(target);
  if (token.has_value() && present != rows_.end()) {
    present->second.token = token;
    present->second.received_at = SteadyNow();
  }
  return token;
}

std::optional<AdmissionToken> AgentRegistry::RequestToken(
    const net::Endpoint& endpoint) {
  const auto result = client_.Call(endpoint, "attempts.token",
                                   boost::json::object(), kTokenTimeout);
  const auto* value = std::get_if<boost::json::value>(&result);
  if (value == nullptr) {
    client_.DropIdle(endpoint);
    return std::nullopt;
  }
  const auto* text = value->if_string();
  return text != nullptr ? ParseToken(std::string_view(*text)) : std::nullopt;
}

}  // namespace bilberryspool::callers
