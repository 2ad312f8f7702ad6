// Runs a group's task against engines and sidecars over real connections while
// its node may not act for a while, as one whose lease has lapsed.

#include "plugins/control_node/group_task.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "auto/groups/fake_group.h"
#include "libs/links/link_client.h"
#include "libs/links/link_server.h"
#include "libs/net/http_status.h"
#include "libs/net/steady_time.h"
#include "plugins/sidecar/engine_reader.h"
#include "plugins/sidecar/engine_relay.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::control_node {
namespace {

using net::SteadyNow;

constexpr std::uint32_t kRanks = 3;
constexpr std::uint32_t kExperts = 12;
constexpr Duration kStep = Milliseconds(4);
constexpr Duration kTick = Milliseconds(25);

traffic::EngineModel Model() {
  traffic::EngineModel engine;
  engine.slots = 8;
  engine.step = kStep;
  engine.step_per_request = Microseconds(100);
  engine.expert_share = 0.85;
  engine.prompt_tokens_per_second = 70'000;
  engine.tokens_per_event = 1;
  engine.expert_layers = 1;
  engine.experts_per_layer = kExperts;
  engine.expert_places = 6;
  engine.new_experts = 2;
  engine.expert_copy = Milliseconds(1);
  return engine;
}

// A group of three ranks, each with its sidecar, that begins a step every few
// milliseconds. The VMs are distinguished by their loopback addresses.
class GroupFixture {
 public:
  explicit GroupFixture(net::NetworkLoop& loop)
      : loop_(loop),
        authenticator_(std::make_shared<net::LinkAuthenticator>(
            "test",
            NodeId("n"),
            "a key of more than sixteen bytes")),
        links_(loop, authenticator_),
        protocol_(MakeProtocol()) {
    for (std::uint32_t i = 0; i < kRanks; ++i) {
      StartRank(RankIndex(i));
    }
    calls_ = std::make_unique<EngineCalls>(loop_, links_, sidecar_port_);
    poller_ = std::make_unique<RankPoller>(loop_, *calls_, FailureDomain("z"));
    multicaster_ =
        std::make_unique<OrderMulticaster>(loop_, *calls_, protocol_);
    task_ = std::make_unique<GroupTask>(loop_, *calls_, *poller_, *multicaster_,
                                        protocol_, GroupId("g"), Model(),
                                        kRanks, Term(1), MapVersion(1));
    task_->SetMayAct([this] { return MayAct(); });
    for (std::uint32_t i = 0; i < kRanks; ++i) {
      task_->SetAddress(RankIndex(i), engines_[i].at, FailureDomain("z"));
    }
    loop_.Spawn([this] { RunSteps(); });
    loop_.Spawn([this] { RunTicks(); });
  }

  bool WaitUntil(const std::function<bool()>& done, Duration limit) {
    const TimePoint end = SteadyNow() + limit;
    while (!done() && SteadyNow() < end) {
      loop_.SleepFor(Milliseconds(2));
    }
    return done();
  }

  const groups::FakeGroup& group() const { return group_; }
  // Orders that the ranks have received.
  int orders() const { return orders_; }
  // How often the task has asked whether it may act while it may not.
  int refusals() const { return refusals_; }
  // The node may not act from the moment on at which the ranks have received
  // that many orders in all, until Resume().
  void SuspendAt(int orders) { suspend_at_ = orders; }
  bool is_suspended() const { return !may_act_; }
  void Resume() { may_act_ = true; }

  void Stop() {
    is_stopping_ = true;
    WaitUntil([this] { return !task_->has_pending_calls() && fibers_ == 0; },
              Seconds(5));
    for (Rank& rank : engines_) {
      rank.sidecar->Drain();
      rank.server->Drain();
    }
  }

 private:
  struct Rank {
    std::unique_ptr<net::HttpServer> server;
    std::unique_ptr<sidecar::EngineReader> reader;
    std::unique_ptr<sidecar::EngineRelay> relay;
    std::unique_ptr<links::LinkServer> sidecar;
    net::Endpoint at;
  };

  // A task that goes round without a wait would keep the loop from everything
  // else for good.
  bool MayAct() {
    constexpr int kMaxRefusals = 100'000;
    if (may_act_ || refusals_ > kMaxRefusals) {
      return true;
    }
    ++refusals_;
    return false;
  }

  // Orders are passed by their index.
  sidecar::EngineProtocol MakeProtocol() {
    sidecar::EngineProtocol protocol;
    const auto get = [](std::string target) {
      net::HttpRequest request;
      request.target = std::move(target);
      return request;
    };
    protocol.report_request = [get] { return get("/report"); };
    protocol.picks_request = [get] { return get("/picks"); };
    protocol.experts_request = [get] { return get("/experts"); };
    protocol.read_report = [this](std::string_view body) {
      return body.empty() ? std::nullopt
                          : std::optional(group_.Report(
                                RankIndex(std::stoul(std::string(body)))));
    };
    protocol.read_picks = [this](std::string_view body) {
      return body.empty() ? std::nullopt : std::optional(Picks());
    };
    protocol.read_experts = [this](std::string_view body) {
      return body.empty() ? std::nullopt
                          : std::optional(ExpertsOf(
                                RankIndex(std::stoul(std::string(body)))));
    };
    protocol.order_request = [this, get](const groups::RankOrder& order,
                                         std::uint32_t /*ranks*/) {
      net::HttpRequest request = get("/order");
      request.method = "POST";
      request.body = std::to_string(sent_.size());
      sent_.push_back(order);
      return request;
    };
    protocol.read_answer = [](int status) {
      return status == static_cast<int>(net::status::kAccepted)
                 ? groups::OrderAnswer::kDone
                 : groups::OrderAnswer::kRefused;
    };
    return protocol;
  }

  bool Holds(RankIndex rank, std::uint32_t expert) const {
    const auto map = maps_.find(group_.Report(rank).map);
    return map == maps_.end()
               ? expert % kRanks == rank.value()
               : map->second->Holds(
                     rank, {placement::LayerIndex(0), ExpertIndex(expert)});
  }

  // Experts that no other rank holds.
  std::vector<std::uint32_t> OwnExperts(RankIndex rank) const {
    std::vector<std::uint32_t> own;
    for (std::uint32_t expert = 0; expert < kExperts; ++expert) {
      std::uint32_t holders = 0;
      for (std::uint32_t i = 0; i < kRanks; ++i) {
        holders += Holds(RankIndex(i), expert) ? 1 : 0;
      }
      if (holders == 1 && Holds(rank, expert)) {
        own.push_back(expert);
      }
    }
    return own;
  }

  // Those experts are in demand that one rank alone holds, so that each map is
  // worth a change.
  groups::ExpertPicks Picks() {
    std::vector<std::uint32_t> in_demand;
    for (std::uint32_t i = 0; i < kRanks; ++i) {
      std::vector<std::uint32_t> own = OwnExperts(RankIndex(i));
      if (own.size() > in_demand.size()) {
        in_demand = std::move(own);
      }
    }
    for (const std::uint32_t expert : in_demand) {
      picks_[expert] += 20'000;
    }
    return {group_.step(), group_.Report(RankIndex(0)).epoch, picks_};
  }

  sidecar::RankExperts ExpertsOf(RankIndex rank) const {
    const groups::EngineReport report = group_.Report(rank);
    sidecar::RankExperts read{report.epoch, report.map, {{}}};
    for (std::uint32_t expert = 0; expert < kExperts; ++expert) {
      if (Holds(rank, expert)) {
        read.experts.front().emplace_back(expert);
      }
    }
    return read;
  }

  void StartRank(RankIndex index) {
    Rank& rank = engines_[index.value()];
    net::HttpServerOptions options;
    options.listen = {"127.0.0." + std::to_string(index.value() + 2), 0};
    rank.server = std::make_unique<net::HttpServer>(
        loop_, options,
        [this, index](net::HttpExchange& exchange) { Serve(index, exchange); });
    REQUIRE(rank.server->Start().empty());
    rank.at = {options.listen.address, rank.server->port()};
    rank.reader =
        std::make_unique<sidecar::EngineReader>(loop_, rank.at, protocol_);
    rank.relay = std::make_unique<sidecar::EngineRelay>(loop_);
    // All sidecars share one port, which the first one chooses.
    options.listen.port = sidecar_port_;
    rank.sidecar = std::make_unique<links::LinkServer>(
        loop_, options, authenticator_,
        [&rank](net::HttpExchange& exchange) {
          if (exchange.request().target == sidecar::kLivenessTarget) {
            exchange.Respond({}, "");
          } else if (sidecar::EngineReader::Handles(exchange.request())) {
            rank.reader->Answer(exchange);
          } else {
            rank.relay->Relay(exchange, rank.at);
          }
        },
        [](const std::string&, net::LinkRefusal) {});
    REQUIRE(rank.sidecar->Start().empty());
    sidecar_port_ = rank.sidecar->port();
  }

  void Serve(RankIndex rank, net::HttpExchange& exchange) {
    net::HttpResponseHead head;
    head.status = net::status::kOk;
    if (exchange.request().method == "POST") {
      groups::RankOrder order =
          sent_.at(std::stoul(std::string(exchange.request().body)));
      // One order is sent to several ranks at once.
      order.rank = rank;
      if (const auto* prepare = std::get_if<groups::PrepareMap>(&order.order)) {
        maps_[prepare->version] = prepare->map;
      }
      if (++orders_ == suspend_at_) {
        may_act_ = false;
        refusals_ = 0;
      }
      head.status = group_.Execute(order) == groups::OrderAnswer::kDone
                        ? net::status::kAccepted
                        : net::status::kConflict;
    }
    exchange.Respond(std::move(head), std::to_string(rank.value()));
  }

  void RunSteps() {
    ++fibers_;
    while (!is_stopping_) {
      loop_.SleepFor(kStep);
      group_.BeginStep();
    }
    --fibers_;
  }

  // As the manager of groups does: ticks stop while the node may not act.
  void RunTicks() {
    ++fibers_;
    while (!is_stopping_) {
      loop_.SleepFor(kTick);
      if (may_act_) {
        task_->Tick();
      }
    }
    --fibers_;
  }

  net::NetworkLoop& loop_;
  std::shared_ptr<const net::LinkAuthenticator> authenticator_;
  links::LinkClient links_;
  groups::FakeGroup group_{kRanks};
  sidecar::EngineProtocol protocol_;
  std::uint16_t sidecar_port_ = 0;
  std::array<Rank, kRanks> engines_;
  std::unique_ptr<EngineCalls> calls_;
  std::unique_ptr<RankPoller> poller_;
  std::unique_ptr<OrderMulticaster> multicaster_;
  std::unique_ptr<GroupTask> task_;
  std::vector<groups::RankOrder> sent_;
  std::map<MapVersion, std::shared_ptr<const placement::ExpertMap>> maps_;
  std::vector<std::uint64_t> picks_ = std::vector<std::uint64_t>(kExperts);
  int orders_ = 0;
  int suspend_at_ = 0;
  bool may_act_ = true;
  int refusals_ = 0;
  bool is_stopping_ = false;
  int fibers_ = 0;
};

void WithFixture(const std::function<void(GroupFixture&)>& body) {
  net::NetworkLoop loop;
  std::thread thread([&] {
    loop.Run([&] {
      GroupFixture fixture(loop);
      body(fixture);
      fixture.Stop();
      // Polls that nobody waits for any more use the fixture until they end.
      loop.SleepFor(Milliseconds(400));
    });
  });
  thread.join();
}

// Guards against a control process that is lost for good, since its task sends
// orders that it may not send again and again without a wait, and against a
// group that stays without a step when its leader may act again.
TEST_CASE("a node that may not act neither spins nor abandons its group") {
  struct Row {
    Duration pause;
    // Orders of a change that the ranks have received when it begins: three to
    // prepare, one to hold, three to arm, one to release.
    std::vector<int> moments;
  };
  const Row rows[] = {{Milliseconds(100), {1, 2, 3, 4, 5, 6, 7, 8}},
                      {Milliseconds(700), {1, 2, 3, 4, 5, 6, 7, 8}},
                      {Seconds(3), {4, 7}}};
  constexpr int kMaxRefusals = 1000;
  constexpr Duration kServedWithin = Milliseconds(500);
  for (const Row& row : rows) {
    WithFixture([&](GroupFixture& fixture) {
      for (const int orders : row.moments) {
        CAPTURE(row.pause.count());
        CAPTURE(orders);
        const MapVersion before = fixture.group().map();
        REQUIRE(fixture.WaitUntil(
            [&] { return fixture.group().map() > before; }, Seconds(10)));
        // The next change begins with the next order.
        fixture.SuspendAt(fixture.orders() + orders);
        REQUIRE(fixture.WaitUntil([&] { return fixture.is_suspended(); },
                                  Seconds(10)));
        fixture.WaitUntil([] { return false; }, row.pause);
        CHECK(fixture.refusals() < kMaxRefusals);
        fixture.Resume();
        const groups::StepNumber step = fixture.group().step();
        CHECK(fixture.WaitUntil(
            [&] {
              return fixture.group().step() > step.Next().Next() &&
                     fixture.group().stalled_attempts() == 0;
            },
            kServedWithin));
        CHECK(fixture.group().mixed_map_steps() == 0);
      }
    });
  }
}

}  // namespace
}  // namespace bilberryspool::control_node
