#include "plugins/operators/statement_runner.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "libs/base/overloaded.h"
#include "libs/config/validation.h"
#include "libs/language/config_answers.h"
#include "libs/language/parser.h"
#include "plugins/operators/applied_index.h"
#include "plugins/operators/coverage_answer.h"
#include "plugins/operators/explanations.h"
#include "plugins/operators/help_text.h"
#include "plugins/operators/live_tables.h"

namespace bilberryspool::operators {

using control::ControlFailure;
using control::ControlFailureKind;
using language::Answer;
using language::AnswerStatus;

namespace {

StatementResult Invalid(std::string note) {
  return {{AnswerStatus::kInvalid, std::nullopt, {std::move(note)}}};
}

// The answer to a change for which the control replicas gave no outcome.
StatementResult ChangeFailed(const ControlFailure& failure,
                             const CommandId& id) {
  StatementResult result;
  result.command_id = id;
  result.failure = failure.kind;
  result.answer.status = failure.kind == ControlFailureKind::kUnknown
                             ? AnswerStatus::kUnknown
                             : AnswerStatus::kRefused;
  result.answer.notes = {DescribeFailure(failure)};
  if (failure.kind == ControlFailureKind::kUnknown) {
    result.answer.notes.push_back(
        "send it again, unchanged, under the command id " + id.value() +
        ": it takes effect once and gives the first outcome");
  }
  return result;
}

// The answer to any other statement if the control replicas gave no answer.
StatementResult QueryFailed(const ControlFailure& failure) {
  const std::string detail =
      failure.detail.empty() ? "" : " (" + failure.detail + ")";
  return {{AnswerStatus::kRefused,
           std::nullopt,
           {"the control replicas gave no answer" + detail}},
          std::nullopt,
          failure.kind};
}

}  // namespace

StatementRunner::StatementRunner(control::OperatorControl& control,
                                 RunnerEnvironment environment)
    : control_(control), environment_(std::move(environment)) {}

StatementResult StatementRunner::Run(const StatementRequest& request) {
  const auto parsed = language::ParseStatement(request.text);
  if (const auto* error = std::get_if<language::ParseError>(&parsed)) {
    return {language::AnswerParseError(*error)};
  }
  return std::visit(
      [&](const auto& statement) { return Execute(statement, request); },
      std::get<language::Statement>(parsed));
}

config::Command StatementRunner::MakeCommand(
    const language::ChangeStatement& statement,
    const StatementRequest& request) const {
  const bool has_explicit_id = statement.id.has_value() || request.command_id;
  const CommandId fallback =
      request.command_id
          ? *request.command_id
          : (has_explicit_id ? CommandId() : environment_.make_command_id());
  std::optional<LogIndex> issued_after = request.issued_after;
  if (!issued_after.has_value() && !has_explicit_id) {
    // The command has a new id, so it was never sent before.
    issued_after = AppliedIndex(control_, environment_.now());
  }
  config::Command command = language::ToCommand(
      statement, fallback, request.operator_id, issued_after);
  if (!command.expected.has_value() && request.read_version.has_value()) {
    command.expected = config::Expectation{*request.read_version};
  }
  return command;
}

StatementResult StatementRunner::Execute(
    const language::ChangeStatement& statement,
    const StatementRequest& request) {
  if (!config::IsValidName(request.operator_id.value())) {
    return Invalid("a change needs the name of its operator");
  }
  const config::Command command = MakeCommand(statement, request);
  if (!config::IsValidName(command.id.value())) {
    return Invalid(
        "a command id has 1 to 128 letters, digits or \". _ - / :\"");
  }
  const auto proposed = control_.Propose(command, kOutcomeTimeout);
  if (const auto* failure = std::get_if<ControlFailure>(&proposed)) {
    return ChangeFailed(*failure, command.id);
  }
  const auto& outcome = std::get<config::Outcome>(proposed);
  StatementResult result{language::AnswerOutcome(outcome), command.id,
                         std::nullopt};
  if (const auto* accepted = std::get_if<config::Accepted>(&outcome)) {
    AddCoverage(accepted->version, result.answer);
  }
  return result;
}

void StatementRunner::AddCoverage(ConfigVersion version, Answer& answer) {
  // Maximum time to wait until an accepted change is in force on all nodes;
  // then the answer says on how many of them it is.
  constexpr Duration kCoverageWait = Seconds(1);
  const TimePoint end = environment_.now() + kCoverageWait;
  auto coverage_result = control_.CoverageOf(version, kCoverageTimeout);
  while (true) {
    const auto* coverage = std::get_if<spread::Coverage>(&coverage_result);
    const bool is_incomplete = coverage != nullptr && !coverage->complete();
    if (!is_incomplete || environment_.now() >= end) {
      break;
    }
    environment_.sleep(kPollInterval);
    coverage_result = control_.CoverageOf(version, kCoverageTimeout);
  }
  if (const auto* failure = std::get_if<ControlFailure>(&coverage_result)) {
    answer.notes.push_back(
        "how far it is in force isn't known yet" +
        (failure->detail.empty() ? std::string()
                                 : " (" + failure->detail + ")") +
        "; ask: wait version " + std::to_string(version.value()));
    return;
  }
  const auto& coverage = std::get<spread::Coverage>(coverage_result);
  answer.notes.front() += ", " + InForceText(coverage);
  AddLacking(coverage, answer);
}

StatementResult StatementRunner::Execute(
    const language::PlanStatement& statement,
    const StatementRequest& request) {
  StatementRequest plan_request = request;
  if (!config::IsValidName(plan_request.operator_id.value())) {
    plan_request.operator_id = config::OperatorId("plan");
  }
  // Always a new id: a plan with the id of an earlier command would be answered
  // with that command's outcome.
  plan_request.command_id = environment_.make_command_id();
  language::ChangeStatement change = statement.change;
  change.id.reset();
  const auto planned =
      control_.Plan(MakeCommand(change, plan_request), kOutcomeTimeout);
  if (const auto* failure = std::get_if<ControlFailure>(&planned)) {
    return QueryFailed(*failure);
  }
  return {language::AnswerPlan(std::get<config::PlanResult>(planned))};
}

StatementResult StatementRunner::Execute(
    const language::WaitStatement& statement,
    const StatementRequest& request) {
  if (statement.timeout > kMaxWait) {
    return Invalid("a wait lasts " +
                   std::to_string(static_cast<int>(ToSeconds(kMaxWait))) +
                   " s at most");
  }
  const TimePoint end = environment_.now() + statement.timeout;
  while (true) {
    const auto coverage_result =
        control_.CoverageOf(statement.version, kCoverageTimeout);
    const auto* coverage = std::get_if<spread::Coverage>(&coverage_result);
    // A new leader has no reports yet: "on 0 of 0 nodes" is no information.
    const bool is_known = coverage != nullptr && coverage->nodes > 0;
    if (is_known && coverage->complete()) {
      return {AnswerInForce(statement.version, *coverage)};
    }
    const bool abandoned = request.is_abandoned && request.is_abandoned();
    const Duration remaining = end - environment_.now();
    if (remaining > Duration(0) && !abandoned) {
      environment_.sleep(std::min(remaining, kPollInterval));
      continue;
    }
    if (coverage == nullptr) {
      return QueryFailed(std::get<ControlFailure>(coverage_result));
    }
    return {AnswerNotInForce(statement.version, *coverage, statement.timeout)};
  }
}

StatementResult StatementRunner::Execute(
    const language::ShowStatement& statement,
    const StatementRequest& /*request*/) {
  return {AnswerShow(statement, control_, environment_.now())};
}

StatementResult StatementRunner::Execute(
    const language::ShowRequestStatement& statement,
    const StatementRequest& /*request*/) {
  return {AnswerRequest(statement.id, control_)};
}

StatementResult StatementRunner::Execute(
    const language::WhyStatement& statement,
    const StatementRequest& /*request*/) {
  return {AnswerWhy(statement.about, control_, environment_.now())};
}

StatementResult StatementRunner::Execute(
    const language::HelpStatement& /*statement*/,
    const StatementRequest& /*request*/) {
  return {AnswerHelp()};
}

}  // namespace bilberryspool::operators
