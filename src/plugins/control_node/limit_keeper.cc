#include "plugins/control_node/limit_keeper.h"

#include <utility>

namespace bilberryspool::control_node {

namespace {

constexpr std::uint32_t kMostLinesASecond = 20;

}  // namespace

LimitKeeper::LimitKeeper(net::FiberSignal& changed)
    : changed_(changed),
      log_("limits"),
      lines_(kMostLinesASecond),
      book_(declared_limits::LimitBookOptions{}) {}

void LimitKeeper::Note(
    const std::string& gateway,
    const std::vector<declared_limits::LimitStatement>& statements,
    TimePoint now) {
  bool is_changed = false;
  for (const declared_limits::LimitStatement& statement : statements) {
    if (!book_.Note(statement, now)) {
      continue;
    }
    is_changed = true;
    if (lines_.Take(now)) {
      log_.Info("A target's limit changed.",
                {{"target", statement.run.target.value()},
                 {"per_second", statement.per_second.has_value()
                                    ? std::to_string(*statement.per_second)
                                    : "none"},
                 {"told_by", gateway},
                 {"age_ms", statement.age / Milliseconds(1)}});
    }
  }
  if (is_changed) {
    changed_.NotifyAll();
  }
}

void LimitKeeper::SetGateways(std::vector<std::string> gateways) {
  const std::uint64_t before = book_.revision();
  book_.SetGateways(std::move(gateways));
  if (book_.revision() != before) {
    changed_.NotifyAll();
  }
}

}  // namespace bilberryspool::control_node
