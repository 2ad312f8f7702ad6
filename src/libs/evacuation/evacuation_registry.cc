#include "libs/evacuation/evacuation_registry.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

#include "libs/base/json_reading.h"

namespace bilberryspool::evacuation {

namespace json = boost::json;
using json_reading::Flag;
using json_reading::List;
using json_reading::Number;
using json_reading::ParseObject;
using json_reading::Text;

namespace {

constexpr std::size_t kMaxDomains = 256;

}  // namespace

std::string EvacuationRegistry::Encode(const EvacuationChange& change) {
  return json::serialize(
      json::object{{"domain", change.domain.value()},
                   {"evacuated", change.is_evacuated},
                   {"expected_revision", change.expected_revision}});
}

std::optional<EvacuationChange> EvacuationRegistry::Decode(
    std::string_view text) {
  const auto object = ParseObject(text);
  if (!object.has_value()) {
    return std::nullopt;
  }
  const auto domain = Text(*object, "domain");
  const auto is_evacuated = Flag(*object, "evacuated");
  const auto expected_revision = Number(*object, "expected_revision");
  if (!domain || domain->empty() || domain->size() > kMaxDomainNameBytes ||
      !is_evacuated || !expected_revision) {
    return std::nullopt;
  }
  return EvacuationChange{FailureDomain(*domain), *is_evacuated,
                          *expected_revision};
}

bool EvacuationRegistry::Apply(const EvacuationChange& change) {
  if (IsEvacuated(change.domain) == change.is_evacuated ||
      RevisionOf(change.domain) != change.expected_revision) {
    return false;
  }
  if (!domains_.contains(change.domain) && !MakeRoom()) {
    return false;
  }
  domains_[change.domain] = {change.is_evacuated, ++revision_};
  return true;
}

bool EvacuationRegistry::IsEvacuated(const FailureDomain& domain) const {
  const auto found = domains_.find(domain);
  return found != domains_.end() && found->second.is_evacuated;
}

std::uint64_t EvacuationRegistry::RevisionOf(
    const FailureDomain& domain) const {
  const auto found = domains_.find(domain);
  return found == domains_.end() ? 0 : found->second.revision;
}

EvacuationState EvacuationRegistry::state() const {
  EvacuationState state;
  state.revision = revision_;
  for (const auto& [domain, record] : domains_) {
    if (record.is_evacuated) {
      state.domains.insert(domain);
    }
  }
  return state;
}

std::string EvacuationRegistry::Export() const {
  json::array domains;
  for (const auto& [domain, record] : domains_) {
    domains.push_back(json::object{{"domain", domain.value()},
                                   {"evacuated", record.is_evacuated},
                                   {"revision", record.revision}});
  }
  return json::serialize(
      json::object{{"revision", revision_}, {"domains", std::move(domains)}});
}

bool EvacuationRegistry::Import(std::string_view text) {
  const auto object = ParseObject(text);
  if (!object.has_value()) {
    return false;
  }
  const auto revision = Number(*object, "revision");
  const json::array* domains = List(*object, "domains");
  if (!revision || domains == nullptr) {
    return false;
  }
  EvacuationRegistry read;
  read.revision_ = *revision;
  for (const json::value& item : *domains) {
    const json::object* record = item.if_object();
    if (record == nullptr) {
      return false;
    }
    const auto domain = Text(*record, "domain");
    const auto is_evacuated = Flag(*record, "evacuated");
    const auto changed_at = Number(*record, "revision");
    if (!domain || !is_evacuated || !changed_at) {
      return false;
    }
    read.domains_[FailureDomain(*domain)] = {*is_evacuated, *changed_at};
  }
  *this = std::move(read);
  return true;
}

bool EvacuationRegistry::MakeRoom() {
  if (domains_.size() < kMaxDomains) {
    return true;
  }
  auto oldest = domains_.end();
  for (auto it = domains_.begin(); it != domains_.end(); ++it) {
    if (it->second.is_evacuated) {
      continue;
    }
    if (oldest == domains_.end() ||
        it->second.revision < oldest->second.revision) {
      oldest = it;
    }
  }
  if (oldest == domains_.end()) {
    return false;
  }
  domains_.erase(oldest);
  return true;
}

}  // namespace bilberryspool::evacuation
