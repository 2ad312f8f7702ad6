#include "libs/attempts/request_event.h"

namespace bilberryspool::attempts {
namespace {

template <typename Event>
const AttemptId* AttemptIn(const Event& event) {
  if constexpr (requires { event.attempt; }) {
    return &event.attempt;
  } else {
    return nullptr;
  }
}

const AttemptId* AttemptIn(const SettleAnswered& event) {
  return &event.answer.attempt;
}

}  // namespace

const AttemptId* AttemptOf(const RequestEvent& event) {
  return std::visit([](const auto& what) { return AttemptIn(what); }, event);
}

}  // namespace bilberryspool::attempts
