#include "auto/attempts/cluster.h"

#include <algorithm>
#include <utility>

namespace bilberryspool::attempts {
namespace {

constexpr std::size_t kDomains = 3;
constexpr int kOk = 200;
// In bytes.
constexpr std::size_t kChunkSize = 7;

RequestKey KeyOf(const std::string& key) {
  return {Workspace("plants"), RequestId(key)};
}

FailureDomain DomainOf(const std::string& entry) {
  return FailureDomain("d" +
                       std::to_string(std::stoul(entry.substr(1)) % kDomains));
}

}  // namespace

Cluster::Cluster(ClusterOptions options,
                 std::size_t entries,
                 std::size_t agents,
                 std::uint64_t seed)
    : options_(options), network_(options.network, seed) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < entries; ++i) {
    names.push_back("e" + std::to_string(i));
    entries_[names.back()].holder = std::make_unique<ClaimHolder>(
        ClaimHolderOptions{kWindow}, NodeId(names.back()), Incarnation(1), true,
        network_.now());
  }
  ChangeRoster(names);
  for (const std::string& name : names) {
    BeatPeriodically(name);
  }
  for (std::size_t i = 0; i < agents; ++i) {
    const std::string name = "a" + std::to_string(i);
    agents_[name].incarnation = Incarnation(0);
    RestartAgent(name);
  }
  Advance(Milliseconds(100));
}

std::optional<std::size_t> Cluster::Send(const std::string& key,
                                         const std::string& name,
                                         bool idempotent,
                                         bool first) {
  if (!network_.alive(name)) {
    return std::nullopt;
  }
  const std::size_t send = sends_.size();
  sends_.push_back(
      {key, name, idempotent, first, network_.now(), network_.frozen(name)});
  const auto arrive = [=, this] {
    Entry& entry = entries_[name];
    const TimePoint now = network_.ClockOf(name);
    Beat(name);
    RequestSpec spec{KeyOf(key),
                     Fingerprint(std::hash<std::string>()(key)),
                     {NodeId(name), entry.incarnation, ClaimNumber(send)},
                     idempotent,
                     first,
                     now + kRequestTimeout,
                     entry.stall.MayPredateStall(now),
                     entry.history.HoldersOf(KeyOf(key), now)};
    entry.machines.emplace(send, RequestMachine({}, std::move(spec)));
    Feed(name, send, RequestStarted{});
  };
  network_.After(name, Duration{}, arrive);
  return send;
}

void Cluster::KillEntry(const std::string& name) {
  MarkDisturbed(name);
  network_.Kill(name);
  entries_[name].machines.clear();
}

void Cluster::MarkDisturbed(const std::string& name) {
  for (SendRecord& sent : sends_) {
    sent.disturbed =
        sent.disturbed || (sent.entry == name && sent.finals.empty());
  }
}

void Cluster::RestartEntry(const std::string& name) {
  Entry& entry = entries_[name];
  entry.incarnation = entry.incarnation.Next();
  const TimePoint now = network_.ClockOf(name);
  entry.holder = std::make_unique<ClaimHolder>(
      ClaimHolderOptions{kWindow}, NodeId(name), entry.incarnation, false, now);
  entry.history = RosterHistory(kWindow);
  entry.tokens.clear();
  entry.stall = StallDetector({kStallLimit}, now);
  network_.Restart(name);
  AdoptRosters(name);
  BeatPeriodically(name);
}

void Cluster::RestartAgent(const std::string& name) {
  network_.Restart(name);
  Agent& agent = agents_[name];
  agent.incarnation = agent.incarnation.Next();
  agent.jobs.clear();
  agent.gate.clear();
  AttemptGateOptions options;
  options.capacity = options_.agent_capacity;
  options.max_records = options_.agent_records;
  agent.gate.emplace_back(options, agent.incarnation, network_.ClockOf(name));
  Announce(name);
}

void Cluster::FreezeEntry(const std::string& name, bool clock_stops) {
  MarkDisturbed(name);
  network_.Freeze(name, clock_stops);
}

void Cluster::ChangeRoster(const std::vector<std::string>& members) {
  Roster roster{RosterVersion(rosters_.size() + 1), {}};
  for (const std::string& name : members) {
    roster.members.push_back({NodeId(name), DomainOf(name)});
  }
  rosters_.push_back(roster);
  for (const auto& [name, entry] : entries_) {
    const Duration delay = rosters_.size() == 1
                               ? Duration{}
                               : network_.random().Between({}, Seconds(5));
    network_.After(name, delay, [this, name = name] { AdoptRosters(name); });
  }
}

std::vector<std::string> Cluster::HoldersOf(const std::string& key) const {
  std::vector<std::string> names;
  for (const NodeId& node : PickHolders(KeyOf(key), rosters_.back()).holders) {
    names.push_back(node.value());
  }
  return names;
}

void Cluster::Announce(const std::string& name) {
  const AdmissionToken token = gate(name).token(network_.ClockOf(name));
  for (const auto& [entry, unused] : entries_) {
    network_.Send(name, entry, [this, entry = entry, name, token](bool) {
      ReceiveToken(entry, name, token);
    });
  }
  network_.After(name, Seconds(1), [this, name] { Announce(name); });
}

void Cluster::ReceiveToken(const std::string& name,
                           const std::string& agent,
                           AdmissionToken token) {
  Entry& entry = entries_[name];
  AdmissionToken& known = entry.tokens[agent];
  known = std::max(known, token);
  if (entry.stall.Observe(TargetId(agent), token, network_.ClockOf(name))) {
    ReportStall(name);
  }
}

void Cluster::Beat(const std::string& name) {
  if (entries_[name].stall.Beat(network_.ClockOf(name))) {
    ReportStall(name);
  }
}

void Cluster::BeatPeriodically(const std::string& name) {
  Beat(name);
  network_.After(name, Seconds(1), [this, name] { BeatPeriodically(name); });
}

void Cluster::ReportStall(const std::string& name) {
  std::vector<std::size_t> open;
  for (const auto& [send, machine] : entries_[name].machines) {
    open.push_back(send);
  }
  for (const std::size_t send : open) {
    Feed(name, send, EntryStalled{});
  }
}

void Cluster::AdoptRosters(const std::string& name) {
  const TimePoint now = network_.ClockOf(name);
  for (const Roster& roster : rosters_) {
    entries_[name].history.Adopt(roster, now);
  }
  entries_[name].holder->AdoptRoster(rosters_.back().version);
}

void Cluster::Feed(const std::string& name,
                   std::size_t send,
                   RequestEvent event) {
  auto& machines = entries_[name].machines;
  const auto found = machines.find(send);
  if (found == machines.end()) {
    return;
  }
  Beat(name);
  const TimePoint now = network_.ClockOf(name);
  for (RequestAction& action : found->second.Handle(event, now)) {
    if (on_action) {
      on_action(action, send);
    }
    if (!network_.alive(name)) {
      return;
    }
    ScheduleAction(name, send, std::move(action));
  }
  ScheduleTick(name, send);
}

void Cluster::ScheduleTick(const std::string& name, std::size_t send) {
  const auto found = entries_[name].machines.find(send);
  if (found == entries_[name].machines.end()) {
    return;
  }
  const std::optional<TimePoint> next = found->second.next_deadline();
  if (next.has_value()) {
    const Duration wait =
        std::max(*next - network_.ClockOf(name), Microseconds(1));
    network_.After(name, wait, [=, this] { Feed(name, send, RequestTick{}); });
  }
}

// Executes an action through a timer of the entry, so that a frozen entry
// executes it only after it resumes.
void Cluster::ScheduleAction(const std::string& name,
                             std::size_t send,
                             RequestAction action) {
  network_.After(name, Microseconds(10), [=, this] {
    const auto carry = [&](const auto& what) {
      ExecuteAction(name, send, what);
    };
    std::visit(carry, action);
  });
}

void Cluster::SendQuery(const std::string& from,
                        const std::string& to,
                        std::size_t send,
                        std::function<RequestEvent(TimePoint)> answer) {
  network_.Send(from, to, [=, this](bool) {
    Reply(to, from, send, answer(network_.ClockOf(to)));
  });
}

void Cluster::ExecuteAction(const std::string& name,
                            std::size_t send,
                            const SendClaim& what) {
  const std::string to = what.holder.value();
  SendQuery(name, to, send, [=, this](TimePoint now) {
    return ClaimAnswered{entries_[to].holder->Claim(what.request, now)};
  });
}

void Cluster::ExecuteAction(const std::string& name,
                            std::size_t send,
                            const SendRelease& what) {
  const std::string to = what.holder.value();
  SendQuery(name, to, send, [=, this](TimePoint now) {
    return ReleaseAnswered{entries_[to].holder->Release(what.release, now)};
  });
}

void Cluster::ExecuteAction(const std::string& name,
                            std::size_t send,
                            const SendSettle& what) {
  const std::string to = what.request.attempt.target.value();
  SendQuery(name, to, send, [=, this](TimePoint now) {
    return SettleAnswered{gate(to).Settle(what.request, now)};
  });
}

void Cluster::ExecuteAction(const std::string& name,
                            std::size_t,
                            const SendFinish& what) {
  const std::string to = what.holder.value();
  network_.Send(name, to, [=, this](bool) {
    entries_[to].holder->Finish(what.finish, network_.ClockOf(to));
  });
}

void Cluster::ExecuteAction(const std::string& name,
                            std::size_t send,
                            const SendAttempt& what) {
  network_.Send(name, what.start.attempt.target.value(), [=, this](bool sole) {
    ReceiveAttempt(what.start, send, sole);
  });
}

void Cluster::ExecuteAction(const std::string& name,
                            std::size_t,
                            const ResumeAttempt& what) {
  const std::string to = what.attempt.target.value();
  network_.Send(name, to, [=, this](bool) {
    const auto job = agents_[to].jobs.find(what.attempt.attempt);
    if (job == agents_[to].jobs.end()) {
      return;
    }
    job->second.offset = what.offset;
    if (job->second.finished) {
      StreamAnswer(to, job->second);
    }
  });
}

void Cluster::ExecuteAction(const std::string& name,
                            std::size_t send,
                            const Route& route) {
  std::vector<TargetChosen> choices;
  for (const auto& [agent, token] : entries_[name].tokens) {
    const TargetId target(agent);
    const auto& excluded = route.excluded;
    if (std::count(excluded.begin(), excluded.end(), target) == 0) {
      choices.push_back({target, token, true});
    }
  }
  if (choices.empty()) {
    Feed(name, send, NoTarget{Seconds(1)});
    return;
  }
  Feed(name, send, choices[network_.random().Below(choices.size())]);
}

void Cluster::ReceiveAttempt(const StartAttempt& start,
                             std::size_t send,
                             bool sole) {
  const std::string name = start.attempt.target.value();
  const std::string entry = start.entry.value();
  const AttemptId& id = start.attempt.attempt;
  const Admission admission = gate(name).Admit(start, network_.ClockOf(name));
  if (const auto* refusal = std::get_if<AttemptRefusal>(&admission)) {
    const bool proven =
        refusal->never_ran || (sole && options_.transport_knows_copies);
    network_.Send(name, entry, [=, this, token = refusal->token](bool) {
      ReceiveToken(entry, name, token);
    });
    Reply(name, entry, send,
          AttemptRefused{id, refusal->reason, proven, refusal->retry_after});
    return;
  }
  Reply(name, entry, send, AttemptAlive{id});
  if (!std::holds_alternative<Admitted>(admission)) {
    return;
  }
  runs_[start.key.request.value()].push_back({send, network_.now()});
  agents_[name].jobs[id] = {start, send, start.offset};
  const Duration work =
      network_.random().Between(options_.work / 2, options_.work * 2);
  network_.After(name, work, [=, this] { FinishJob(name, id); });
}

void Cluster::FinishJob(const std::string& name, const AttemptId& id) {
  Job& job = agents_[name].jobs[id];
  job.finished = true;
  gate(name).Finish(id, {kOk, AnswerTo(job.start.key.request.value())});
  StreamAnswer(name, job);
}

void Cluster::StreamAnswer(const std::string& name, const Job& job) {
  const std::string whole = AnswerTo(job.start.key.request.value());
  const std::string entry = job.start.entry.value();
  const AttemptId& id = job.start.attempt.attempt;
  Reply(name, entry, job.send, AttemptHead{id, kOk});
  for (std::size_t at = job.offset; at < whole.size(); at += kChunkSize) {
    Reply(name, entry, job.send,
          AttemptChunk{id, at, whole.substr(at, kChunkSize)});
  }
  Reply(name, entry, job.send, AttemptFinished{id, whole.size()});
}

void Cluster::Reply(const std::string& from,
                    const std::string& to,
                    std::size_t send,
                    RequestEvent event) {
  const Incarnation incarnation = entries_[to].incarnation;
  network_.Send(from, to, [=, this, event = std::move(event)](bool) {
    if (entries_[to].incarnation == incarnation) {
      Feed(to, send, event);
    }
  });
}

void Cluster::ExecuteAction(const std::string&,
                            std::size_t send,
                            const AnswerCaller& answer) {
  SendRecord& sent = sends_[send];
  sent.finals.push_back(answer);
  sent.answered_at = network_.now();
  Check(sent.finals.size() == 1, "one final answer", send);
  const std::string whole = AnswerTo(sent.key);
  Check(whole.starts_with(sent.text), "text is a prefix of the own answer",
        send);
  if (answer.kind == FinalKind::kAnswered) {
    const std::string text =
        answer.outcome ? answer.outcome->body.value_or("") : sent.text;
    Check(text == whole, "complete answer", send);
  }
  if (answer.kind != FinalKind::kNotRun || sent.idempotent) {
    return;
  }
  // "Not run" must hold for every send within the window. If the caller
  // asserted that this was the first send, it only covers the sends before it.
  for (const EngineRun& run : runs_[sent.key]) {
    const bool recent = run.at > sent.at - (kWindow - kTokenValidity);
    const bool covered = !sent.first || sends_[run.send].at < sent.at;
    Check(!recent || !covered, "answered not run, but a covered send ran",
          send);
  }
}

void Cluster::Check(bool holds, const std::string& what, std::size_t send) {
  if (holds) {
    return;
  }
  std::string fault = what + ", send " + std::to_string(send);
  const auto add = [&](const std::string& text, TimePoint at) {
    fault += text + std::to_string(ToSeconds(at.time_since_epoch()));
  };
  for (std::size_t i = 0; i < sends_.size(); ++i) {
    if (sends_[i].key == sends_[send].key) {
      add("; send " + std::to_string(i) + " to " + sends_[i].entry + " at ",
          sends_[i].at);
      add(" answered at ", sends_[i].answered_at);
    }
  }
  for (const EngineRun& run : runs_[sends_[send].key]) {
    add("; run of " + std::to_string(run.send) + " at ", run.at);
  }
  faults_.push_back(fault);
}

void Cluster::CheckAtEnd() {
  for (std::size_t send = 0; send < sends_.size(); ++send) {
    const SendRecord& sent = sends_[send];
    if (!sent.disturbed) {
      Check(!sent.finals.empty(), "a final answer", send);
      Check(sent.answered_at <= sent.at + kRequestTimeout + Milliseconds(1),
            "an answer before the timeout", send);
    }
    const auto& runs = runs_[sent.key];
    const bool not_run =
        !sent.finals.empty() && sent.finals[0].kind == FinalKind::kNotRun;
    for (const EngineRun& run : runs) {
      Check(!not_run || run.send != send, "answered not run, but it ran", send);
    }
    for (std::size_t i = 1; i < runs.size() && !sent.idempotent; ++i) {
      const TimePoint forgotten = runs[i - 1].at + kWindow - kTokenValidity;
      Check(sends_[runs[i].send].at > forgotten, "at most one run", send);
    }
  }
}

}  // namespace bilberryspool::attempts
