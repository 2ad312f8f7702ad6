// The part of RelayCall for requests that terminate the targets that run them:
// run permissions and quarantine.

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "plugins/gateway/relay_call.h"

namespace bilberryspool::gateway {

using net::SteadyNow;
using quarantine::Verdict;

namespace {

// A run in progress elsewhere usually takes longer than this, so waiting longer
// is of no use; the completion that clears a popular request is reported
// sooner.
constexpr Duration kMaxWait = Milliseconds(400);
// Part of the caller's time that is reserved for the answer.
constexpr Duration kAnswerTime = Milliseconds(50);
constexpr Duration kPermissionRetryInterval = Milliseconds(100);

// For the log.
std::string ListOfParts(const std::vector<std::string>& ids) {
  constexpr std::size_t kMaxNamed = 8;
  std::string text;
  for (std::size_t i = 0; i < std::min(ids.size(), kMaxNamed); ++i) {
    text += (i == 0 ? "" : ",") + ids[i];
  }
  return ids.size() > kMaxNamed ? text + ",..." : text;
}

}  // namespace

bool RelayCall::AwaitRunPermission() {
  const TimePoint limit =
      std::min(SteadyNow() + kMaxWait, deadline_ - kAnswerTime);
  while (true) {
    const std::vector<Held> held = FindHeld();
    if (held.empty()) {
      return true;
    }
    const auto refused =
        std::find_if(held.begin(), held.end(), [](const Held& one) {
          return one.judgement.verdict == Verdict::kRefused;
        });
    if (refused != held.end()) {
      AnswerQuarantined(*refused);
      return false;
    }
    // A run in a broken group would yield no information about the request.
    const bool is_worth_a_run =
        state_.targets.AvailabilityOf(service_, SteadyNow()) ==
        traffic::Availability::kOpen;
    if (is_worth_a_run && TryTrials(held)) {
      send_log_ += "(one at a time)";
      return true;
    }
    if (caller_disconnected_) {
      Finish("caller_left", "while another run was under way");
      return false;
    }
    if (!is_worth_a_run || state_.is_ending || SteadyNow() >= limit) {
      AnswerNotPermitted(held.front());
      return false;
    }
    state_.update_signal.WaitUntil(
        std::min(limit, SteadyNow() + kPermissionRetryInterval));
  }
}

std::vector<RelayCall::Held> RelayCall::FindHeld() const {
  const TimePoint now = SteadyNow();
  std::vector<Held> held;
  const auto judge = [&](const quarantine::RequestFingerprint& subject) {
    const auto judgement = state_.quarantine.Judge(subject, now);
    if (judgement.verdict != Verdict::kFree) {
      held.push_back({subject, judgement});
    }
  };
  judge(fingerprint_);
  std::for_each(parts_.begin(), parts_.end(), judge);
  return held;
}

bool RelayCall::TryTrials(const std::vector<Held>& held) {
  trial_ = head_.request_id + "/" + std::to_string(sends_);
  for (const Held& one : held) {
    if (!state_.quarantine.TryTrial(one.subject, trial_)) {
      EndTrials();
      return false;
    }
    permitted_.push_back(one.subject);
  }
  return true;
}

std::string RelayCall::Describe(const Held& held) const {
  const auto ms = [](Duration duration) {
    return std::to_string(duration / Milliseconds(1)) + " ms";
  };
  const auto part = std::find(parts_.begin(), parts_.end(), held.subject);
  std::string text;
  if (part != parts_.end()) {
    text = "part " + head_.shared_parts[part - parts_.begin()] + ", " +
           held.subject.ToText() + ", ";
  }
  const quarantine::Judgement& judgement = held.judgement;
  text += std::to_string(judgement.terminations) + " targets ended in " +
          ms(judgement.since);
  text += judgement.source.empty() ? ", seen here"
                                   : ", told by " + judgement.source + " " +
                                         ms(judgement.age) + " ago";
  return text + ", " + ms(judgement.remaining) + " left";
}

// A final answer without Retry-After: the caller is not asked to retry what
// will be refused again.
void RelayCall::AnswerQuarantined(const Held& held) {
  const std::string reason = "quarantined: " + Describe(held);
  if (has_stream_started_) {
    exchange_.AbortStream();
    Finish("broken_off", reason);
    return;
  }
  net::HttpResponseHead head;
  head.status = net::status::kBadRequest;
  head.headers.Add("Content-Type", "text/plain");
  exchange_.Respond(
      std::move(head),
      held.subject.is_prompt_part()
          ? "targets ended when they ran requests with a part of this prompt; "
            "it is refused for a while\n"
          : "targets ended when they ran this request; it is refused for a "
            "while\n");
  Finish("quarantined", reason);
}

void RelayCall::AnswerNotPermitted(const Held& held) {
  const std::string reason = "runs one at a time: " + Describe(held);
  if (has_stream_started_) {
    exchange_.AbortStream();
    Finish("broken_off", reason);
    return;
  }
  if (failure_.has_value()) {
    AnswerStep(traffic::RelayStep::kForwardFailure, reason);
    return;
  }
  if (may_have_run_ && !match_.route->may_repeat()) {
    Fail(net::status::kBadGateway, reason);
    return;
  }
  Refuse(RetryAfter(), reason);
}

void RelayCall::ReportTermination(const traffic::Choice& choice) {
  quarantine::TerminationObserved end;
  end.request = fingerprint_;
  end.service = service_;
  end.run = {choice.target, choice.incarnation};
  const auto was_permitted =
      [&](const quarantine::RequestFingerprint& subject) {
        return std::find(permitted_.begin(), permitted_.end(), subject) !=
               permitted_.end();
      };
  end.was_permitted = was_permitted(fingerprint_);
  const TimePoint now = SteadyNow();
  state_.quarantine.OnTermination(end, now);
  end.carrier = fingerprint_;
  for (const quarantine::RequestFingerprint& part : parts_) {
    end.request = part;
    end.was_permitted = was_permitted(part);
    state_.quarantine.OnTermination(end, now);
  }
  has_target_terminated_ = true;
  state_.log.Info("A target ended while it ran a request.",
                  {{"target", choice.target.value()},
                   {"incarnation", choice.incarnation.value()},
                   {"id", head_.request_id},
                   {"content", fingerprint_.ToText()},
                   {"parts", ListOfParts(head_.shared_parts)},
                   {"events", has_stream_started_ ? "yes" : "no"}});
}

void RelayCall::ReportCompletion() {
  state_.quarantine.OnCompleted(fingerprint_, SteadyNow());
  ReportPartsAnswered();
}

void RelayCall::ReportPartsAnswered() {
  if (std::exchange(are_parts_reported_, true)) {
    return;
  }
  const TimePoint began_at = send_first_event_at_.value_or(sent_at_);
  for (const quarantine::RequestFingerprint& part : parts_) {
    state_.quarantine.OnPartAnswered(part, began_at, SteadyNow());
  }
}

bool RelayCall::HasAnsweredForAWhile(TimePoint now) const {
  // A target terminates within a few steps of its engine. It may be stalled
  // since the first one, so one event is not enough.
  constexpr Duration kWhile = Milliseconds(500);
  const bool has_gone_on = send_first_event_at_.has_value() &&
                           last_event_at_ > *send_first_event_at_;
  return !has_target_terminated_ && has_gone_on &&
         now - *send_first_event_at_ >= kWhile;
}

void RelayCall::EndTrials() {
  for (const quarantine::RequestFingerprint& subject : permitted_) {
    state_.quarantine.OnTrialOver(subject, trial_);
  }
  permitted_.clear();
}

}  // namespace bilberryspool::gateway
