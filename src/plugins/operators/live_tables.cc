#include "plugins/operators/live_tables.h"

#include <map>
#include <string>
#include <utility>

#include "libs/config/target_selector.h"
#include "libs/language/config_answers.h"
#include "libs/language/filter.h"
#include "plugins/operators/effective_offer.h"
#include "plugins/operators/placement_match.h"
#include "plugins/operators/text.h"

namespace bilberryspool::operators {

using language::Answer;
using language::AnswerStatus;
using language::AnswerTable;
using language::Subject;

namespace {

std::uint64_t Number(std::uint64_t number) {
  return number;
}

const char* OfferName(membership::Offer offer) {
  switch (offer) {
    case membership::Offer::kYes:
      return "yes";
    case membership::Offer::kLastResort:
      return "last resort";
    case membership::Offer::kNo:
      return "no";
  }
  return "";
}

bool IsOffered(const membership::TargetView& view,
               const config::Configuration& configuration) {
  return EffectiveOfferOf(view, configuration).offer == membership::Offer::kYes;
}

// Totals of one failure domain.
struct DomainSums {
  std::uint64_t targets = 0;
  std::uint64_t offered = 0;
  std::uint64_t slots = 0;
  std::uint64_t running = 0;
  std::uint64_t queued = 0;
};

std::map<FailureDomain, DomainSums> SumByDomain(
    const membership::Directory& directory,
    const config::Configuration& configuration,
    TimePoint now) {
  std::map<FailureDomain, DomainSums> sums;
  for (const membership::TargetView& view : directory.targets(now)) {
    DomainSums& sum = sums[view.announcement->domain];
    ++sum.targets;
    sum.offered += IsOffered(view, configuration) ? 1 : 0;
    sum.slots += view.announcement->slots;
    sum.running += view.load.running;
    sum.queued += view.load.queued;
  }
  for (const auto& [domain, row] : directory.summaries()) {
    if (sums.contains(domain)) {
      continue;
    }
    // This entry knows only the summary of that domain, not its targets.
    DomainSums& sum = sums[domain];
    sum.targets = row.summary.targets;
    for (const membership::ServiceSummary& service : row.summary.services) {
      sum.offered += service.targets;
      sum.slots += service.slots;
      sum.running += service.running;
      sum.queued += service.queued;
    }
  }
  return sums;
}

AnswerTable DomainsTable(const membership::Directory& directory,
                         const config::Configuration& configuration,
                         TimePoint now) {
  AnswerTable table{{"domain", "reachable", "silent_s", "targets", "offered",
                     "slots", "running", "queued"},
                    {}};
  for (const auto& [domain, sum] : SumByDomain(directory, configuration, now)) {
    const membership::DomainState state = directory.domain_state(domain);
    const double silent =
        state.reachable ? 0 : RoundedSeconds(now - state.silent_since);
    table.rows.push_back({domain.value(), state.reachable, silent,
                          Number(sum.targets), Number(sum.offered),
                          Number(sum.slots), Number(sum.running),
                          Number(sum.queued)});
  }
  return table;
}

AnswerTable MembersTable(const control::ReplicaStatus& status,
                         const config::Configuration& configuration) {
  AnswerTable table{{"member", "standing", "leader", "address", "domain"}, {}};
  for (const auto& [node, standing] : status.members) {
    const auto* spec = configuration.Find<config::ControlMemberSpec>(node);
    table.rows.push_back({node.value(), standing, status.leader == node,
                          spec == nullptr ? "-" : spec->address,
                          spec == nullptr ? "-" : spec->domain.value()});
  }
  for (const NodeId& node : status.awaiting_admission) {
    table.rows.push_back({node.value(), std::string("awaiting admission"),
                          false, std::string("-"), std::string("-")});
  }
  return table;
}

// Adds to each declared service the number of targets that may serve it, and of
// those that are offered now.
void AddServingCounts(const membership::Directory& directory,
                      const config::Configuration& configuration,
                      TimePoint now,
                      AnswerTable& table) {
  const std::vector<membership::TargetView> views = directory.targets(now);
  table.columns.insert(table.columns.end(), {"targets", "offered"});
  std::size_t row = 0;
  for (const auto& [id, entry] : configuration.table<config::ServiceSpec>()) {
    std::uint64_t may_serve = 0;
    std::uint64_t offered = 0;
    for (const membership::TargetView& view : views) {
      if (!MayServe(*view.announcement, entry.spec, configuration)) {
        continue;
      }
      ++may_serve;
      offered += IsOffered(view, configuration) ? 1 : 0;
    }
    table.rows.at(row).emplace_back(may_serve);
    table.rows.at(row).emplace_back(offered);
    ++row;
  }
}

// Adds to each declared group its state by the latest report of its controller.
void AddGroupStates(const control::OperatorControl& control,
                    TimePoint now,
                    AnswerTable& table) {
  const auto reports = control.group_reports();
  table.columns.insert(
      table.columns.end(),
      {"map", "state", "reason", "in_view", "pending_fetches", "report_age_s"});
  std::size_t row = 0;
  for (const auto& [id, entry] :
       control.configuration().table<config::GroupSpec>()) {
    const auto found = reports.find(id);
    auto& cells = table.rows.at(row++);
    if (found == reports.end()) {
      cells.insert(cells.end(), {Number(0), std::string("-"),
                                 std::string("no controller was heard"),
                                 Number(0), Number(0), 0.0});
      continue;
    }
    const control::GroupReport& report = found->second.report;
    cells.insert(cells.end(),
                 {report.map.value(), report.state, report.why,
                  Number(report.ranks.size()), report.pending_fetches,
                  RoundedSeconds(now - found->second.received_at)});
  }
}

std::string ReplicaNote(const control::ReplicaStatus& status) {
  return "this entry: " + status.role + ", term " +
         std::to_string(status.term) + ", committed " +
         std::to_string(status.commit_index) + ", applied " +
         std::to_string(status.applied_index);
}

// Says which version the answer is based on, and its age: an entry that is cut
// off answers from the last configuration that it received.
std::string AsOfNote(const control::OperatorControl& control, TimePoint now) {
  const std::uint64_t version = control.configuration().version().value();
  if (version == 0) {
    return "no accepted configuration is in force on this entry yet";
  }
  const std::optional<Duration> age = control.config_age(now);
  return "as of version " + std::to_string(version) +
         (age.has_value()
              ? ", vouched for by the leader " + SecondsText(*age) + " ago"
              : ", not vouched for by a leader since the start");
}

std::optional<AnswerTable> TableOf(Subject subject,
                                   const control::OperatorControl& control,
                                   const control::ReplicaStatus& status,
                                   TimePoint now) {
  const config::Configuration& configuration = control.configuration();
  if (subject == Subject::kTargets) {
    return TargetsTable(control.directory().targets(now), configuration);
  }
  if (subject == Subject::kDomains) {
    return DomainsTable(control.directory(), configuration, now);
  }
  if (subject == Subject::kMembers) {
    return MembersTable(status, configuration);
  }
  std::optional<Answer> declared =
      language::AnswerShow({subject, {}}, configuration);
  if (!declared.has_value()) {
    return std::nullopt;
  }
  if (subject == Subject::kServices) {
    AddServingCounts(control.directory(), configuration, now, *declared->table);
  }
  if (subject == Subject::kGroups) {
    AddGroupStates(control, now, *declared->table);
  }
  return std::move(declared->table);
}

}  // namespace

AnswerTable TargetsTable(const std::vector<membership::TargetView>& views,
                         const config::Configuration& configuration) {
  AnswerTable table{
      {"target", "domain", "services", "offered", "reason", "drained",
       "running", "queued", "slots", "load_age_s", "heard_age_s", "heard_by"},
      {}};
  for (const membership::TargetView& view : views) {
    const membership::Announcement& announcement = *view.announcement;
    const EffectiveOffer effective_offer =
        EffectiveOfferOf(view, configuration);
    const bool is_known = !view.last_seen_by.value().empty();
    table.rows.push_back(
        {announcement.target.value(), announcement.domain.value(),
         JoinIds(announcement.services),
         std::string(OfferName(effective_offer.offer)), effective_offer.reason,
         effective_offer.drained_by.value_or("-"), Number(view.load.running),
         Number(view.load.queued), Number(announcement.slots),
         RoundedSeconds(view.load.age), RoundedSeconds(view.last_seen_age),
         is_known ? view.last_seen_by.value() : "-"});
  }
  return table;
}

Answer AnswerShow(const language::ShowStatement& statement,
                  const control::OperatorControl& control,
                  TimePoint now) {
  Answer answer;
  const control::ReplicaStatus status = control.replica_status(now);
  answer.table = TableOf(statement.subject, control, status, now);
  language::ApplyFilters(statement.where, answer);
  if (answer.status == AnswerStatus::kInvalid) {
    return answer;
  }
  answer.notes.push_back(AsOfNote(control, now));
  const bool concerns_replicas = statement.subject == Subject::kMembers ||
                                 statement.subject == Subject::kVersion;
  if (concerns_replicas) {
    answer.notes.push_back(ReplicaNote(status));
  }
  return answer;
}

}  // namespace bilberryspool::operators
