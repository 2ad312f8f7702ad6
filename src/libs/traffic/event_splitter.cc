#include "libs/traffic/event_splitter.h"

#include <algorithm>

namespace bilberryspool::traffic {

namespace {

// Position after the last blank line of `text`, or 0. A blank line ends an
// event; lines end with "\n" or "\r\n".
std::size_t EndOfLastEvent(std::string_view text) {
  std::size_t end = 0;
  const std::size_t plain = text.rfind("\n\n");
  if (plain != std::string_view::npos) {
    end = plain + 2;
  }
  const std::size_t with_return = text.rfind("\n\r\n");
  if (with_return != std::string_view::npos) {
    end = std::max(end, with_return + 3);
  }
  return end;
}

}  // namespace

std::string EventSplitter::Take(std::string_view bytes) {
  // What is pending has no blank line, but may end with a part of one.
  constexpr std::size_t kMaxPart = 2;
  const std::string part = pending_.Tail(kMaxPart);
  const std::string searched = part + std::string(bytes);
  const std::size_t end = EndOfLastEvent(searched);
  if (end == 0) {
    pending_.Append(bytes);
    return "";
  }
  std::string events = pending_.ToString();
  events += std::string_view(searched).substr(part.size(), end - part.size());
  pending_.Clear();
  pending_.Append(std::string_view(searched).substr(end));
  RecordLastId(events);
  return events;
}

void EventSplitter::DiscardUnfinished() {
#if !defined(BILBERRYSPOOL_MUTATION_KEEP_UNFINISHED)
  pending_.Clear();
#endif
}

void EventSplitter::RecordLastId(std::string_view events) {
  constexpr std::string_view kField = "id:";
  std::size_t start = 0;
  while (start < events.size()) {
    std::size_t end = events.find('\n', start);
    if (end == std::string_view::npos) {
      end = events.size();
    }
    std::string_view line = events.substr(start, end - start);
    start = end + 1;
    if (!line.starts_with(kField)) {
      continue;
    }
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) {
      line.remove_prefix(1);
    }
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    last_id_ = std::string(line);
  }
}

}  // namespace bilberryspool::traffic
