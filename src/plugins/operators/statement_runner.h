// Runs one operator's statement against the control thread.
//
// A change whose answer was lost is reported as unknown, with the id to resend
// it under, never as done or not done. "Accepted" and "in force" are reported
// separately, as an accepted change takes time to reach all nodes.

#ifndef PLUGINS_OPERATORS_STATEMENT_RUNNER_H_
#define PLUGINS_OPERATORS_STATEMENT_RUNNER_H_

#include <functional>
#include <optional>
#include <string>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/config/command.h"
#include "libs/language/answer.h"
#include "libs/language/statement.h"
#include "plugins/control/operator_control.h"

namespace bilberryspool::operators {

// One statement as it was sent.
struct StatementRequest {
  std::string text;
  config::OperatorId operator_id;
  // Id of a change whose text names none; without either, a new id is made.
  std::optional<CommandId> command_id;
  // Expected version of a change whose text names none.
  std::optional<ConfigVersion> read_version;
  std::optional<LogIndex> issued_after;
  // Returns true once the caller no longer waits for the answer; may be empty.
  std::function<bool()> is_abandoned;
};

struct StatementResult {
  language::Answer answer;
  // The id under which a change was proposed.
  std::optional<CommandId> command_id;
  // Set where the control replicas gave no answer.
  std::optional<control::ControlFailureKind> failure;
};

// Clock, sleep and source of ids of a runner.
struct RunnerEnvironment {
  std::function<TimePoint()> now;
  // Suspends the calling fiber.
  std::function<void(Duration)> sleep;
  std::function<CommandId()> make_command_id;
};

class StatementRunner {
 public:
  // Timeout for the outcome of a change or plan.
  static constexpr Duration kOutcomeTimeout = Seconds(5);
  // Timeout of one query of a version's coverage.
  static constexpr Duration kCoverageTimeout = Seconds(1);
  static constexpr Duration kPollInterval = Milliseconds(100);
  static constexpr Duration kMaxWait = Seconds(300);

  StatementRunner(control::OperatorControl& control,
                  RunnerEnvironment environment);

  // May suspend the calling fiber. Any input is answered, also invalid bytes.
  StatementResult Run(const StatementRequest& request);

 private:
  StatementResult Execute(const language::ChangeStatement& statement,
                          const StatementRequest& request);
  StatementResult Execute(const language::PlanStatement& statement,
                          const StatementRequest& request);
  StatementResult Execute(const language::WaitStatement& statement,
                          const StatementRequest& request);
  StatementResult Execute(const language::ShowStatement& statement,
                          const StatementRequest& request);
  StatementResult Execute(const language::ShowRequestStatement& statement,
                          const StatementRequest& request);
  StatementResult Execute(const language::WhyStatement& statement,
                          const StatementRequest& request);
  StatementResult Execute(const language::HelpStatement& statement,
                          const StatementRequest& request);

  config::Command MakeCommand(const language::ChangeStatement& statement,
                              const StatementRequest& request) const;
  void AddCoverage(ConfigVersion version, language::Answer& answer);

  control::OperatorControl& control_;
  RunnerEnvironment environment_;
};

}  // namespace bilberryspool::operators

#endif  // PLUGINS_OPERATORS_STATEMENT_RUNNER_H_
