// Quarantine of requests and prompt parts that terminate targets, on a control
// node.

#ifndef PLUGINS_CONTROL_NODE_QUARANTINE_MANAGER_H_
#define PLUGINS_CONTROL_NODE_QUARANTINE_MANAGER_H_

#include <boost/json/value.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "libs/links/link_server.h"
#include "libs/net/fiber_signal.h"
#include "libs/quarantine/prompt_part_registry.h"
#include "libs/quarantine/quarantine_registry.h"
#include "libs/telemetry/log.h"
#include "libs/telemetry/log_rate_limiter.h"

namespace bilberryspool::control_node {

// Each control node receives reports of terminated targets from all gateways
// that reach it, decides independently, and sends the result with the gateways'
// next watch; there is no leader. Runs in the control loop.
class QuarantineManager {
 public:
  // `changed` is notified when gateways must be sent an update.
  explicit QuarantineManager(net::FiberSignal& changed);

  void Register(links::LinkServer& server);
  // Must be called a few times a second.
  void Tick(TimePoint now);
  // Merges the records of another control node.
  void Adopt(const std::vector<quarantine::QuarantineRecord>& records,
             TimePoint now);
  // Releases a request on behalf of an operator. Returns false if it is not in
  // quarantine.
  bool Release(const quarantine::RequestFingerprint& request, TimePoint now);

  // Sets the records in the replicated log; also called repeatedly while the
  // log is replayed after a start.
  void OnLogRecords(std::vector<quarantine::QuarantineRecord> records,
                    TimePoint now);
  // Returns the records that the log should hold; nothing if it already holds
  // them, or if a save was requested recently.
  std::optional<std::vector<quarantine::QuarantineRecord>> RecordsToSave(
      TimePoint now);

  // The records that gateways are sent. They change at most a few times a
  // second.
  const std::vector<quarantine::QuarantineRecord>& published_records() const {
    return published_records_;
  }
  std::uint64_t published_revision() const { return published_revision_; }
  // Whether the node has had time to receive all reports since its start. Until
  // then gateways keep the records that it sent them before.
  bool is_settled() const { return is_settled_; }
  // The latest revision that must be sent to gateways immediately. A request
  // that is only suspected because of a single termination is sent with the
  // next regular answer.
  std::uint64_t urgent_revision() const { return urgent_revision_; }
  std::size_t size() const { return registry_.size(); }
  std::size_t suspect_parts() const { return parts_.size(); }
  std::uint64_t trials() const { return trials_; }

 private:
  using Json = boost::json::value;

  std::optional<Json> OnReport(const Json& params);
  std::optional<Json> OnTrial(const Json& params);
  // Returns false if the reports can't be parsed.
  bool Report(const Json& reports, TimePoint now);
  void ApplyObservation(const quarantine::Observation& observation,
                        TimePoint now);
  // Returns whether the verdict has changed.
  bool ApplyRelease(const quarantine::ReleaseOrdered& release, TimePoint now);
  void AdoptRecord(const quarantine::QuarantineRecord& record, TimePoint now);
  std::optional<quarantine::QuarantineRecord> RecordOf(
      const quarantine::RequestFingerprint& request,
      TimePoint now) const;
  // Of both registries together.
  std::uint64_t registry_revision() const {
    return registry_.revision() + parts_.revision();
  }
  void Publish(TimePoint now);
  void LogVerdict(const quarantine::RequestFingerprint& request, TimePoint now);

  net::FiberSignal& changed_;
  telemetry::Logger log_;
  quarantine::QuarantineRegistry registry_;
  quarantine::PromptPartRegistry parts_;
  std::vector<quarantine::QuarantineRecord> published_records_;
  std::uint64_t published_revision_ = 0;
  std::uint64_t urgent_revision_ = 0;
  std::uint64_t published_registry_revision_ = 0;
  TimePoint published_at_;
  telemetry::LogRateLimiter log_budget_;
  std::uint64_t trials_ = 0;
  std::optional<TimePoint> first_tick_at_;
  bool is_settled_ = false;
  std::vector<quarantine::QuarantineRecord> log_records_;
  // Unset once the records have been merged.
  std::optional<TimePoint> log_records_received_at_;
  TimePoint save_requested_at_;
};

}  // namespace bilberryspool::control_node

#endif  // PLUGINS_CONTROL_NODE_QUARANTINE_MANAGER_H_
