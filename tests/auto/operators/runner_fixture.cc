#include "auto/operators/runner_fixture.h"

#include "libs/language/rendering.h"

namespace bilberryspool::operators {

RunnerFixture::RunnerFixture()
    : runner(control,
             {[this] { return now; },
              [this](Duration duration) { now += duration; },
              [this] {
                return CommandId("made-" + std::to_string(++ids_made));
              }}) {
  control.Announce("t1", "sahab", now);
  control.Announce("t2", "marka", now);
  now += Milliseconds(500);
  Run("declare service drafter engine; allow service drafter on any");
}

StatementResult RunnerFixture::Run(const std::string& text,
                                   const char* id,
                                   const char* operator_name) {
  StatementRequest request;
  request.text = text;
  request.operator_id = config::OperatorId(operator_name);
  if (id != nullptr) {
    request.command_id = CommandId(id);
  }
  return runner.Run(request);
}

std::string RunnerFixture::TextOf(const std::string& text) {
  return language::RenderText(Run(text).answer);
}

}  // namespace bilberryspool::operators
