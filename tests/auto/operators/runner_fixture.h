#ifndef AUTO_OPERATORS_RUNNER_FIXTURE_H_
#define AUTO_OPERATORS_RUNNER_FIXTURE_H_

#include <string>

#include "auto/operators/fake_operator_control.h"
#include "plugins/operators/statement_runner.h"

namespace bilberryspool::operators {

// A runner with a fake control and a clock that only sleeping advances. Two
// targets, t1 in sahab and t2 in marka, may serve the service drafter.
struct RunnerFixture {
  RunnerFixture();

  StatementResult Run(const std::string& text,
                      const char* id = nullptr,
                      const char* operator_name = "kim");
  std::string TextOf(const std::string& text);

  TimePoint now = TimeAt(Seconds(100));
  int ids_made = 0;
  FakeOperatorControl control;
  StatementRunner runner;
};

}  // namespace bilberryspool::operators

#endif  // AUTO_OPERATORS_RUNNER_FIXTURE_H_
