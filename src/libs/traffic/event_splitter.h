// Cuts the bytes of a stream into whole events.

#ifndef LIBS_TRAFFIC_EVENT_SPLITTER_H_
#define LIBS_TRAFFIC_EVENT_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace bilberryspool::traffic {

// Engines may stop in the middle of an event. A caller that was given half an
// event could not be given the rest by another engine, so only whole events
// go on; the half one waits here and is forgotten with its run.
class EventSplitter {
 public:
  // Takes bytes and gives back the whole events among them, as they came;
  // empty where none has ended.
  std::string Take(std::string_view bytes);

  // The id of the last whole event, once there was one with an id.
  const std::optional<std::string>& last_id() const { return last_id_; }
  // Bytes of an event that has not ended.
  const std::string& unfinished() const { return pending_; }
  // For a new run that goes on after the last whole event.
  void DiscardUnfinished();

 private:
  void RecordLastId(std::string_view events);

  std::string pending_;
  std::optional<std::string> last_id_;
};

}  // namespace bilberryspool::traffic

#endif  // LIBS_TRAFFIC_EVENT_SPLITTER_H_
