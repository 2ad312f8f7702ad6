// A control node's part in keeping requests that end targets from the targets.

#ifndef PLUGINS_CONTROL_NODE_QUARANTINE_KEEPER_H_
#define PLUGINS_CONTROL_NODE_QUARANTINE_KEEPER_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/links/link_server.h"
#include "libs/net/fiber_signal.h"
#include "libs/quarantine/quarantine_book.h"
#include "libs/telemetry/log.h"
#include "libs/telemetry/log_rate_limiter.h"

namespace bilberryspool::control_node {

// Every control node hears of the ends from all gateways that reach it, decides
// for itself, and tells the gateways with their next watch; none leads. Belongs
// to the control loop.
class QuarantineKeeper {
 public:
  // `changed` is notified where gateways have to be told.
  explicit QuarantineKeeper(net::FiberSignal& changed);

  void Register(links::LinkServer& server);
  // To be called a few times a second.
  void Tick(TimePoint now);
  // What another control node tells.
  void Adopt(const std::vector<quarantine::QuarantineRecord>& records,
             TimePoint now);
  // An operator lets a request pass. False where nothing is held against it.
  bool Release(const quarantine::RequestFingerprint& request, TimePoint now);

  // What the replicas' log holds, in turn also while it is read after a start.
  void OnSaved(std::vector<quarantine::QuarantineRecord> records,
               TimePoint now);
  // What the log should hold; nothing where it does, or did a moment ago.
  std::optional<std::vector<quarantine::QuarantineRecord>> Unsaved(
      TimePoint now);

  // What gateways are told. It changes a few times a second at most.
  const std::vector<quarantine::QuarantineRecord>& told() const {
    return told_;
  }
  std::uint64_t told_revision() const { return told_revision_; }
  // Whether the node has heard what there is to hear since its start. Until
  // then gateways keep what it told them before.
  bool is_settled() const { return is_settled_; }
  // The revision that gateways have to be told of at once. What is suspected
  // for one end alone reaches them with the next answer that they get anyway.
  std::uint64_t urgent_revision() const { return urgent_revision_; }
  std::size_t size() const { return book_.size(); }
  std::uint64_t trials() const { return trials_; }

 private:
  using Json = boost::json::value;

  std::optional<Json> OnReport(const Json& params);
  std::optional<Json> OnTrial(const Json& params);
  // False where it can't be read.
  bool Report(const Json& reports, TimePoint now);
  void Note(const quarantine::Observation& observation, TimePoint now);
  void Publish(TimePoint now);
  void LogVerdict(const quarantine::RequestFingerprint& request, TimePoint now);

  net::FiberSignal& changed_;
  telemetry::Logger log_;
  quarantine::QuarantineBook book_;
  std::vector<quarantine::QuarantineRecord> told_;
  std::uint64_t told_revision_ = 0;
  std::uint64_t urgent_revision_ = 0;
  std::uint64_t published_ = 0;  // the book's revision
  TimePoint published_at_;
  telemetry::LogRateLimiter lines_;
  std::uint64_t trials_ = 0;
  std::optional<TimePoint> first_tick_at_;
  bool is_settled_ = false;
  std::vector<quarantine::QuarantineRecord> saved_;
  // Unset once what was saved has been taken over.
  std::optional<TimePoint> saved_at_;
  TimePoint asked_to_save_at_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_QUARANTINE_KEEPER_H_
