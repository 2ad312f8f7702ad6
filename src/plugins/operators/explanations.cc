#include "plugins/operators/explanations.h"

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "libs/base/overloaded.h"
#include "libs/config/key_text.h"
#include "libs/language/config_answers.h"
#include "plugins/operators/effective_offer.h"
#include "plugins/operators/live_tables.h"
#include "plugins/operators/placement_match.h"
#include "plugins/operators/text.h"

namespace bilberryspool::operators {

using config::Configuration;
using language::Answer;
using language::AnswerStatus;
using membership::TargetView;

namespace {

constexpr double kPercent = 100;

template <typename Predicate>
std::vector<TargetView> TargetsWhere(const control::OperatorControl& control,
                                     TimePoint now,
                                     const Predicate& is_wanted) {
  std::vector<TargetView> views = control.directory().targets(now);
  std::erase_if(views, [&](const TargetView& view) {
    return !is_wanted(*view.announcement);
  });
  return views;
}

void ExplainLiveness(const TargetView& view, std::vector<std::string>& notes) {
  const std::string by = view.direct ? "this entry"
                                     : (view.last_seen_by.value().empty()
                                            ? std::string("nobody yet")
                                            : view.last_seen_by.value());
  notes.push_back("last heard " + SecondsText(view.last_seen_age) +
                  " ago, by " + by);
  notes.push_back("load: " + std::to_string(view.load.running) + " running, " +
                  std::to_string(view.load.queued) + " queued of " +
                  std::to_string(view.announcement->slots) + " slots, " +
                  SecondsText(view.load.age) + " old");
}

std::string OfferText(membership::Offer offer) {
  switch (offer) {
    case membership::Offer::kYes:
      return "offered: ";
    case membership::Offer::kLastResort:
      return "offered only where no other target can serve: ";
    case membership::Offer::kNo:
      return "not offered: ";
  }
  return "";
}

void ExplainTarget(const TargetId& target,
                   const control::OperatorControl& control,
                   TimePoint now,
                   Answer& answer) {
  const auto view = control.directory().target(target, now);
  if (!view.has_value()) {
    answer.notes.push_back("target " + target.value() +
                           " never announced itself to this entry");
    return;
  }
  answer.table = TargetsTable({*view}, control.configuration());
  const EffectiveOffer effective_offer =
      EffectiveOfferOf(*view, control.configuration());
  answer.notes.push_back(OfferText(effective_offer.offer) +
                         effective_offer.reason);
  if (view->share < 1) {
    answer.notes.push_back(
        "gets " + std::to_string(static_cast<int>(view->share * kPercent)) +
        " % of its usual work while its failure domain ramps up");
  }
  if (effective_offer.drained_by.has_value()) {
    answer.notes.push_back("drained as " + *effective_offer.drained_by);
  }
  ExplainLiveness(*view, answer.notes);
}

void ExplainService(const ServiceId& service,
                    const control::OperatorControl& control,
                    TimePoint now,
                    Answer& answer) {
  const auto* spec = control.configuration().Find<config::ServiceSpec>(service);
  if (spec == nullptr) {
    answer.notes.push_back("service " + service.value() + " isn't declared");
  } else {
    answer.table = TargetsTable(
        TargetsWhere(control, now,
                     [&](const membership::Announcement& announcement) {
                       return MayServe(announcement, *spec,
                                       control.configuration());
                     }),
        control.configuration());
  }
  const auto reasons = control.routing_reasons(service);
  for (const std::string& reason : reasons) {
    answer.notes.push_back("routed: " + reason);
  }
  if (reasons.empty()) {
    answer.notes.emplace_back("this entry routed no request for it of late");
  }
}

void ExplainGroupState(const GroupId& group,
                       const control::OperatorControl& control,
                       TimePoint now,
                       std::vector<std::string>& notes) {
  const auto reports = control.group_reports();
  const auto found = reports.find(group);
  if (found == reports.end()) {
    notes.emplace_back("this entry has heard of no controller of it");
    return;
  }
  const control::GroupReport& report = found->second.report;
  std::string ranks;
  for (const RankIndex rank : report.ranks) {
    ranks += " " + std::to_string(rank.value());
  }
  notes.push_back(report.state + ": " + report.why + "; map " +
                  std::to_string(report.map.value()) + " at ranks" + ranks +
                  ", " + std::to_string(report.pending_fetches) +
                  " fetches pending, told " +
                  SecondsText(now - found->second.received_at) + " ago");
  if (!report.decision.empty()) {
    notes.push_back("last decision on placement: " + report.decision);
  }
}

void ExplainGroup(const GroupId& group,
                  const control::OperatorControl& control,
                  TimePoint now,
                  Answer& answer) {
  const Configuration& configuration = control.configuration();
  const auto* spec = configuration.Find<config::GroupSpec>(group);
  if (spec == nullptr) {
    answer.notes.push_back("group " + group.value() + " isn't declared");
    return;
  }
  answer.table = TargetsTable(
      TargetsWhere(control, now,
                   [&](const membership::Announcement& announcement) {
                     return MayHoldRank(announcement, *spec);
                   }),
      configuration);
  ExplainGroupState(group, control, now, answer.notes);
  for (const auto& [key, entry] : configuration.table<config::PinSpec>()) {
    if (key.group != group) {
      continue;
    }
    answer.notes.push_back(config::ObjectNameOf<config::PinSpec>(key) +
                           " to rank " +
                           std::to_string(entry.spec.rank.value()) + " by " +
                           entry.modified_by.value() + " at version " +
                           std::to_string(entry.modified_at.value()));
  }
}

void ExplainWorkspace(const Workspace& workspace,
                      const control::OperatorControl& control,
                      Answer& answer) {
  if (control.configuration().Find<config::WorkspaceSpec>(workspace) ==
      nullptr) {
    answer.notes.push_back("workspace " + workspace.value() +
                           " isn't declared");
  }
}

}  // namespace

Answer AnswerRequest(const RequestId& request,
                     const control::OperatorControl& control) {
  const auto outcome = control.request_outcome(request);
  return {AnswerStatus::kDone,
          std::nullopt,
          {outcome.has_value()
               ? "request " + request.value() + ": " + *outcome
               : "this entry knows nothing of request " + request.value() +
                     "; ask the entry that its caller used"}};
}

Answer AnswerWhy(const language::WhySubject& about,
                 const control::OperatorControl& control,
                 TimePoint now) {
  Answer answer;
  std::visit(
      Overloaded{
          [&](const TargetId& id) { ExplainTarget(id, control, now, answer); },
          [&](const ServiceId& id) {
            ExplainService(id, control, now, answer);
          },
          [&](const GroupId& id) { ExplainGroup(id, control, now, answer); },
          [&](const Workspace& id) { ExplainWorkspace(id, control, answer); },
          [&](const RequestId& id) { answer = AnswerRequest(id, control); }},
      about);
  for (std::string& note :
       language::ExplainFromConfiguration(about, control.configuration())) {
    answer.notes.push_back(std::move(note));
  }
  return answer;
}

}  // namespace bilberryspool::operators
