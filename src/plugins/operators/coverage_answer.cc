#include "plugins/operators/coverage_answer.h"

#include <utility>

#include "plugins/operators/text.h"

namespace bilberryspool::operators {

using language::Answer;
using language::AnswerStatus;

std::string InForceText(const spread::Coverage& coverage) {
  return "in force on " + std::to_string(coverage.in_force) + " of " +
         std::to_string(coverage.nodes) + " nodes";
}

void AddLacking(const spread::Coverage& coverage, Answer& answer) {
  if (!coverage.lacking.empty()) {
    language::AnswerTable table{{"lacking"}, {}};
    for (const NodeId& node : coverage.lacking) {
      table.rows.push_back({node.value()});
    }
    answer.table = std::move(table);
  }
  const std::uint32_t lacking = coverage.nodes - coverage.in_force;
  if (coverage.in_force < coverage.nodes && coverage.lacking.size() < lacking) {
    answer.notes.push_back("named are " +
                           std::to_string(coverage.lacking.size()) + " of " +
                           std::to_string(lacking) + " nodes that lack it");
  }
  for (const FailureDomain& domain : coverage.silent_domains) {
    answer.notes.push_back("domain " + domain.value() +
                           " is silent: whether its nodes have it isn't known");
  }
}

Answer AnswerInForce(ConfigVersion version, const spread::Coverage& coverage) {
  return {AnswerStatus::kDone,
          std::nullopt,
          {"version " + std::to_string(version.value()) + " is " +
           InForceText(coverage)}};
}

Answer AnswerNotInForce(ConfigVersion version,
                        const spread::Coverage& coverage,
                        Duration waited) {
  Answer answer{AnswerStatus::kRefused,
                std::nullopt,
                {"version " + std::to_string(version.value()) +
                 " is not in force everywhere after " + SecondsText(waited) +
                 ": " + InForceText(coverage)}};
  AddLacking(coverage, answer);
  return answer;
}

std::string DescribeFailure(const control::ControlFailure& failure) {
  const std::string detail =
      failure.detail.empty() ? "" : " (" + failure.detail + ")";
  switch (failure.kind) {
    case control::ControlFailureKind::kNoLeader:
      return "not done: no leader of the control replicas was reached" + detail;
    case control::ControlFailureKind::kBusy:
      return "not done: too many orders wait" + detail;
    case control::ControlFailureKind::kUnknown:
      return "unknown: it may or may not take effect" + detail;
  }
  return detail;
}

}  // namespace bilberryspool::operators
