// Splits the bytes of an event stream into complete events.

#ifndef LIBS_TRAFFIC_EVENT_SPLITTER_H_
#define LIBS_TRAFFIC_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

#include "libs/base/growing_bytes.h"

namespace bilberryspool::traffic {

// Buffers the incomplete last event of a stream. An engine may stop in the
// middle of an event, and another engine cannot supply the rest of it, so only
// complete events are forwarded to the caller. The incomplete one is discarded
// together with its run.
class EventSplitter {
 public:
  // Appends bytes and returns the events that are complete now, unchanged;
  // empty if there are none.
  std::string Take(std::string_view bytes);

  // The id of the last complete event that had one.
  const std::optional<std::string>& last_id() const { return last_id_; }
  // Size of the incomplete event.
  std::size_t unfinished_bytes() const { return pending_.size(); }
  // Call before a new run that continues after the last complete event.
  void DiscardUnfinished();

 private:
  void RecordLastId(std::string_view events);

  GrowingBytes pending_;
  std::optional<std::string> last_id_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_EVENT_SPLITTER_H_
