#include "plugins/control_node/target_news.h"

#include "libs/traffic/target_codec.h"

namespace bilberryspool::control_node {

TargetNews::Part TargetNews::Since(const traffic::TargetRegistry& book,
                                   std::uint64_t from,
                                   Duration freshness,
                                   TimePoint now) {
  const bool is_behind = revision_ != book.revision();
  if (is_behind && (from >= revision_ || now - taken_at_ > freshness)) {
    revision_ = book.revision();
    taken_at_ = now;
    parts_.clear();
  }
  const auto [part, is_new] = parts_.try_emplace(from);
  if (is_new) {
    part->second = traffic::PackTargets(book.ChangedSince(from));
  }
  return {revision_, part->second};
}

}  // namespace bilberryspool::control_node
