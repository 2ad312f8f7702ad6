#include "libs/scenario/agent_node.h"

#include <algorithm>
#include <utility>

#include "libs/base/overloaded.h"

namespace bilberryspool::scenario {
namespace {

constexpr Duration kMaxPause = Milliseconds(200);
constexpr Duration kMinWorkDuration = Milliseconds(20);
constexpr Duration kMaxWorkDuration = Milliseconds(100);
constexpr std::uint32_t kSlots = 16;
constexpr std::size_t kChunkBytes = 7;
constexpr int kOk = 200;

membership::AnnouncerOptions MakeOptions(const AgentNode::Settings& settings,
                                         Incarnation incarnation) {
  membership::AnnouncerOptions options;
  options.description.target = TargetId(settings.node.value());
  options.description.node = settings.node;
  options.description.domain = settings.domain;
  options.description.address = settings.node.value();
  options.description.services = settings.services;
  options.description.slots = kSlots;
  options.description.claim.incarnation = incarnation;
  options.description.state = membership::TargetState::kServing;
  options.seeds = settings.entries;
  return options;
}

spread::SpreaderOptions MakeSpreaderOptions(
    const AgentNode::Settings& settings) {
  spread::SpreaderOptions options;
  options.self = settings.node;
  options.domain = settings.domain;
  options.role = spread::SpreaderRole::kAgent;
  return options;
}

}  // namespace

AgentNode::AgentNode(FakeNetwork& network,
                     Verdict& verdict,
                     ConfigChecks& checks,
                     RequestRegistry& request_registry,
                     Settings settings)
    : network_(network),
      verdict_(verdict),
      request_registry_(request_registry),
      settings_(std::move(settings)),
      target_(settings_.node.value()),
      announcer_(MakeOptions(settings_, network.incarnation(settings_.node)),
                 network.random().engine()()),
      gate_({}, network.incarnation(settings_.node), network.now()),
      spread_(network, verdict, checks, MakeSpreaderOptions(settings_), [this] {
        return Topology();
      }) {}

void AgentNode::Start() {
  RunAnnouncer();
  spread_.Start();
}

void AgentNode::BeginPlannedStop() {
  gate_.StartDraining(network_.now());
  HandleAnnouncer(membership::StateChanged{membership::TargetState::kLeaving});
}

void AgentNode::RunAnnouncer() {
  HandleAnnouncer(membership::AnnouncerTick{});
  const TimePoint now = network_.now();
  const TimePoint due = announcer_.next_deadline().value_or(now + kMaxPause);
  const Duration pause =
      std::clamp<Duration>(due - now, Milliseconds(1), kMaxPause);
  network_.After(settings_.node, pause, [this] { RunAnnouncer(); });
}

void AgentNode::HandleAnnouncer(const membership::AnnouncerEvent& event) {
  for (const auto& action : announcer_.Handle(event, network_.now())) {
    std::visit(Overloaded{[this](const membership::SendAnnouncement& send) {
                            network_.Send(settings_.node, NodeId(send.entry),
                                          send.announcement);
                          },
                          [this](const membership::SendHeartbeat& send) {
                            network_.Send(settings_.node, NodeId(send.entry),
                                          send.heartbeat);
                          },
                          [this](const membership::IdentityLost&) {
                            verdict_.Note(settings_.node, "lost its identity");
                          }},
               action);
  }
}

spread::TopologyChanged AgentNode::Topology() const {
  spread::TopologyChanged topology;
  for (const std::string& entry : settings_.entries) {
    topology.parents.emplace_back(entry);
  }
  return topology;
}

void AgentNode::Receive(const NodeId& from, const Frame& frame) {
  std::visit([&](const auto& typed) { On(from, typed); }, frame);
}

void AgentNode::On(const NodeId& from, const membership::AnnounceReply& reply) {
  HandleAnnouncer(membership::ReplyReceived{from.value(), reply});
}

void AgentNode::On(const NodeId&, const spread::DeltaMessage& message) {
  spread_.Handle(spread::DeltaReceived{message});
}

void AgentNode::On(const NodeId&, const spread::FullMessage& message) {
  spread_.Handle(spread::FullReceived{message});
}

void AgentNode::On(const NodeId&, const spread::HaveMessage& message) {
  spread_.Handle(spread::HaveReceived{message});
}

void AgentNode::On(const NodeId& from, const TokenCall& call) {
  const auto token = gate_.token(network_.now());
  network_.Send(settings_.node, from, TokenReply{call.send, target_, token});
}

void AgentNode::On(const NodeId& from, const AttemptCall& call) {
  const AttemptId& id = call.start.attempt.attempt;
  const attempts::Admission admission = gate_.Admit(call.start, network_.now());
  if (const auto* refusal = std::get_if<attempts::AttemptRefusal>(&admission)) {
    Refuse(from, call, *refusal);
    return;
  }
  Reply(from, call.send, {attempts::AttemptAlive{id}});
  if (!std::holds_alternative<attempts::Admitted>(admission)) {
    return;
  }
  verdict_.Note(settings_.node, "runs " + call.start.key.request.value());
  request_registry_.OnRun(call.send, target_, network_.now());
  jobs_[id] = {call.start, call.send, from, call.start.offset, false};
  const Duration work =
      network_.random().Between(kMinWorkDuration, kMaxWorkDuration);
  network_.After(settings_.node, work, [this, id] { Finish(id); });
}

void AgentNode::Refuse(const NodeId& from,
                       const AttemptCall& call,
                       const attempts::AttemptRefusal& refusal) {
  network_.Send(settings_.node, from,
                TokenReply{call.send, target_, refusal.token});
  Reply(from, call.send,
        {attempts::AttemptRefused{refusal.attempt, refusal.reason,
                                  refusal.never_ran, refusal.retry_after}});
}

void AgentNode::On(const NodeId& from, const ResumeCall& call) {
  const auto job = jobs_.find(call.attempt.attempt);
  if (job == jobs_.end()) {
    return;
  }
  job->second.send = call.send;
  job->second.entry = from;
  job->second.offset = call.offset;
  if (job->second.finished) {
    Stream(job->second);
  }
}

void AgentNode::On(const NodeId& from, const SettleCall& call) {
  const auto answer = gate_.Settle(call.request, network_.now());
  Reply(from, call.send, {attempts::SettleAnswered{answer}});
}

void AgentNode::Finish(const AttemptId& attempt) {
  Job& job = jobs_.at(attempt);
  job.finished = true;
  gate_.Finish(attempt,
               {kOk, RequestRegistry::AnswerTo(job.start.key.request)});
  Stream(job);
}

void AgentNode::Stream(const Job& job) {
  const std::string whole = RequestRegistry::AnswerTo(job.start.key.request);
  const AttemptId& id = job.start.attempt.attempt;
  std::vector<attempts::RequestEvent> stream{attempts::AttemptHead{id, kOk}};
  for (std::size_t at = job.offset; at < whole.size(); at += kChunkBytes) {
    stream.emplace_back(
        attempts::AttemptChunk{id, at, whole.substr(at, kChunkBytes)});
  }
  stream.emplace_back(attempts::AttemptFinished{id, whole.size()});
  Reply(job.entry, job.send, std::move(stream));
}

void AgentNode::Reply(const NodeId& to,
                      SendId send,
                      std::vector<attempts::RequestEvent> events) {
  network_.Send(settings_.node, to, RequestReply{send, std::move(events)});
}

}  // namespace bilberryspool::scenario
