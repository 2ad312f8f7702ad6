#include "libs/net/repeated_call.h"

#include <memory>

#include "libs/net/fiber_signal.h"
#include "libs/net/steady_time.h"

namespace bilberryspool::net {

int CallRepeated(const std::function<void(std::function<void()>)>& spawn,
                 const std::function<int()>& call,
                 Duration repeat_after) {
  struct Answers {
    int status = 0;
    int missing = 0;
    FiberSignal changed;
  };
  auto answers = std::make_shared<Answers>();
  const auto send = [&] {
    ++answers->missing;
    spawn([answers, call] {
      const int status = call();
      answers->status = answers->status == 0 ? status : answers->status;
      --answers->missing;
      answers->changed.NotifyAll();
    });
  };
  const TimePoint repeat_at = SteadyNow() + repeat_after;
  send();
  bool is_repeated = false;
  while (answers->status == 0 && (answers->missing > 0 || !is_repeated)) {
    if (is_repeated) {
      answers->changed.Wait();
      continue;
    }
    if (answers->missing == 0 || !answers->changed.WaitUntil(repeat_at)) {
      is_repeated = true;
      send();
    }
  }
  return answers->status;
}

}  // namespace bilberryspool::net
