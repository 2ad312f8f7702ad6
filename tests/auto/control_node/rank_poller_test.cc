// Polls ranks and sends them orders through their sidecars, over real
// connections.

#include "plugins/control_node/rank_poller.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <numeric>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "libs/links/link_client.h"
#include "libs/links/link_server.h"
#include "libs/net/http_status.h"
#include "plugins/control_node/order_multicaster.h"
#include "plugins/sidecar/engine_reader.h"
#include "plugins/sidecar/engine_relay.h"
#include "plugins/sidecar/sidecar_call.h"

namespace bilberryspool::control_node {
namespace {

const GroupId kGroup("g");
const FailureDomain kDomain("sahab");
constexpr std::uint32_t kRanks = 3;
constexpr int kMaxTries = 50;
constexpr std::uint32_t kAccepted = net::status::kAccepted;

// Engines that report their step and one counter as plain numbers.
sidecar::EngineProtocol PlainProtocol() {
  sidecar::EngineProtocol protocol;
  const auto get = [](std::string target) {
    net::HttpRequest request;
    request.target = std::move(target);
    return request;
  };
  protocol.report_request = [get] { return get("/report"); };
  protocol.picks_request = [get] { return get("/picks"); };
  protocol.read_report = [](std::string_view body) {
    groups::EngineReport report;
    report.step = groups::StepNumber(std::stoull(std::string(body)));
    report.running = 1;
    return std::optional<groups::EngineReport>(report);
  };
  protocol.read_picks = [](std::string_view body) {
    const auto count = std::stoull(std::string(body));
    return std::optional<groups::ExpertPicks>(
        groups::ExpertPicks{groups::StepNumber(count), {}, {10 * count}});
  };
  return protocol;
}

// One engine with its sidecar. The VMs are distinguished by their loopback
// addresses.
struct Engine {
  std::unique_ptr<net::HttpServer> server;
  std::unique_ptr<sidecar::EngineReader> reader;
  std::unique_ptr<sidecar::EngineRelay> relay;
  std::unique_ptr<links::LinkServer> sidecar_server;
  net::Endpoint at;
  int step = 0;
  bool is_silent = false;
  bool is_frozen = false;  // its VM; the sidecar is silent, too
  // Does not answer an order until it gets another one.
  bool answers_only_repeated = false;
  int orders = 0;
  std::string last_order;
  int active_calls = 0;
};

class RankFixture {
 public:
  explicit RankFixture(net::NetworkLoop& loop)
      : loop_(loop),
        authenticator_(std::make_shared<net::LinkAuthenticator>(
            "test",
            NodeId("n"),
            "a key of more than sixteen bytes")),
        links_(loop, authenticator_) {
    for (std::uint32_t i = 0; i < kRanks; ++i) {
      engines_.push_back(std::make_unique<Engine>());
      Start(i, *engines_.back());
    }
    calls_ = std::make_unique<EngineCalls>(loop_, links_, sidecar_port_);
    poller_ = std::make_unique<RankPoller>(loop_, *calls_, kDomain);
    multicaster_ =
        std::make_unique<OrderMulticaster>(loop_, *calls_, protocol_);
  }

  groups::RoundResponse Read(placement::ReadingMark mark,
                             std::uint32_t counters = 1) {
    groups::RoundRequest question{kGroup, mark, 1.0, counters, Addresses()};
    return poller_->Read(question);
  }
  groups::MulticastResult Multicast(const std::string& body,
                                    bool is_guarded = false) {
    return multicaster_->Multicast({Addresses(), Milliseconds(50), "POST",
                                    "/order", "text/plain", packing::Pack(body),
                                    is_guarded});
  }
  Engine& engine(std::size_t index) { return *engines_[index]; }

  void Stop() {
    for (const auto& engine : engines_) {
      engine->is_silent = false;
      engine->is_frozen = false;
      engine->answers_only_repeated = false;
      while (engine->active_calls > 0) {
        loop_.SleepFor(Milliseconds(10));
      }
      engine->sidecar_server->Drain();
      engine->server->Drain();
    }
  }

 private:
  std::vector<groups::RankAddress> Addresses() const {
    std::vector<groups::RankAddress> addresses;
    for (std::uint32_t i = 0; i < kRanks; ++i) {
      addresses.push_back({RankIndex(i), engines_[i]->at.ToString()});
    }
    return addresses;
  }

  void Start(std::uint32_t index, Engine& engine) {
    net::HttpServerOptions options;
    options.listen = {"127.0.0." + std::to_string(index + 2), 0};
    engine.server = std::make_unique<net::HttpServer>(
        loop_, options, [this, &engine](net::HttpExchange& exchange) {
          Serve(engine, exchange);
        });
    REQUIRE(engine.server->Start().empty());
    engine.at = {options.listen.address, engine.server->port()};
    engine.reader = std::make_unique<sidecar::EngineReader>(loop_, engine.at,
                                                            PlainProtocol());
    engine.relay = std::make_unique<sidecar::EngineRelay>(loop_);
    // All sidecars share one port, which the first one chooses.
    options.listen.port = sidecar_port_;
    engine.sidecar_server = std::make_unique<links::LinkServer>(
        loop_, options, authenticator_,
        [this, &engine](net::HttpExchange& exchange) {
          if (engine.is_frozen) {
            ++engine.active_calls;
            while (engine.is_frozen) {
              loop_.SleepFor(Milliseconds(10));
            }
            --engine.active_calls;
          }
          if (exchange.request().target == sidecar::kLivenessTarget) {
            exchange.Respond({}, "");
          } else if (sidecar::EngineReader::Handles(exchange.request())) {
            engine.reader->Answer(exchange);
          } else {
            engine.relay->Relay(exchange, engine.at);
          }
        },
        [](const std::string&, net::LinkRefusal) {});
    REQUIRE(engine.sidecar_server->Start().empty());
    sidecar_port_ = engine.sidecar_server->port();
  }

  void Serve(Engine& engine, net::HttpExchange& exchange) {
    ++engine.active_calls;
    while (engine.is_silent) {
      loop_.SleepFor(Milliseconds(10));
    }
    if (exchange.request().method == "POST") {
      engine.last_order = exchange.request().body;
      const int number = ++engine.orders;
      while (engine.answers_only_repeated && engine.orders == number) {
        loop_.SleepFor(Milliseconds(1));
      }
    }
    net::HttpResponseHead head;
    head.status = exchange.request().method == "POST" ? net::status::kAccepted
                                                      : net::status::kOk;
    exchange.Respond(std::move(head), std::to_string(engine.step));
    --engine.active_calls;
  }

  net::NetworkLoop& loop_;
  std::shared_ptr<const net::LinkAuthenticator> authenticator_;
  links::LinkClient links_;
  sidecar::EngineProtocol protocol_ = PlainProtocol();
  std::uint16_t sidecar_port_ = 0;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::unique_ptr<EngineCalls> calls_;
  std::unique_ptr<RankPoller> poller_;
  std::unique_ptr<OrderMulticaster> multicaster_;
};

// Longer than the timeouts of a poll and of a reading.
constexpr Duration kMaxCallTime = Milliseconds(200);

void WithFixture(const std::function<void(RankFixture&)>& body) {
  net::NetworkLoop loop;
  std::thread thread([&] {
    loop.Run([&] {
      RankFixture fixture(loop);
      body(fixture);
      fixture.Stop();
      // Polls that nobody waits for any more use the fixture until they end.
      loop.SleepFor(kMaxCallTime);
    });
  });
  thread.join();
}

// A rank that answers late on a busy machine is part of the next round.
TEST_CASE("rounds report all ranks and sum up their work") {
  WithFixture([](RankFixture& fixture) {
    placement::ReadingMark mark;
    std::set<RankIndex> polled_ranks;
    for (int i = 0; i < kMaxTries && polled_ranks.size() < kRanks; ++i) {
      const groups::RoundResponse answer = fixture.Read(mark);
      mark = answer.mark;
      CHECK(answer.domain == kDomain);
      for (const groups::RankPollResult& word : answer.results) {
        polled_ranks.insert(word.rank);
        CHECK(word.poll_delay >= Duration::zero());
      }
      // The first readings only set the marks.
      CHECK(std::accumulate(answer.work.begin(), answer.work.end(), 0.0) ==
            0.0);
    }
    REQUIRE(polled_ranks.size() == kRanks);
    for (std::size_t i = 0; i < kRanks; ++i) {
      fixture.engine(i).step = static_cast<int>(i + 1);
    }
    double work = 0.0;
    for (int i = 0; i < kMaxTries && work < 60.0; ++i) {
      const groups::RoundResponse answer = fixture.Read(mark);
      mark = answer.mark;
      work = std::accumulate(answer.work.begin(), answer.work.end(), work);
    }
    CHECK(work == doctest::Approx(60.0));
    // There is no new work, and none is counted twice.
    const groups::RoundResponse answer = fixture.Read(mark);
    CHECK(std::accumulate(answer.work.begin(), answer.work.end(), 0.0) == 0.0);
  });
}

// Guards against a group keeping its first map forever. Its engines are
// replaced under the same name by ones with other experts, and the reader
// continues with sums of the former size, which drops all growth.
TEST_CASE("a group starts over when its engines have other experts") {
  WithFixture([](RankFixture& fixture) {
    placement::ReadingMark mark = fixture.Read({}, 7).mark;
    double work = 0.0;
    for (int i = 0; i < kMaxTries && work == 0.0; ++i) {
      ++fixture.engine(0).step;
      const groups::RoundResponse answer = fixture.Read(mark);
      mark = answer.mark;
      work = std::accumulate(answer.work.begin(), answer.work.end(), work);
    }
    CHECK(work > 0.0);
  });
}

// Guards against the leader getting no reports from a whole failure domain
// because one of its VMs is frozen: the answer must not wait for all ranks.
TEST_CASE("a silent rank delays a round only until its timeout") {
  WithFixture([](RankFixture& fixture) {
    fixture.engine(1).is_silent = true;
    // Returns although that rank never answers meanwhile.
    const groups::RoundResponse answer = fixture.Read({});
    CHECK(fixture.engine(1).is_silent);
    for (const groups::RankPollResult& word : answer.results) {
      CHECK(word.rank != RankIndex(1));
    }
  });
}

// An order that is not answered on a busy machine is repeated, as its sender
// does.
TEST_CASE(
    "an order reaches every rank completely, and each answer is returned") {
  WithFixture([](RankFixture& fixture) {
    const std::string map(20'000, 'm');
    fixture.engine(2).is_silent = true;
    std::vector<std::uint32_t> statuses(kRanks);
    for (int i = 0; i < kMaxTries &&
                    (statuses[0] != kAccepted || statuses[1] != kAccepted);
         ++i) {
      const groups::MulticastResult answer = fixture.Multicast(map);
      REQUIRE(answer.statuses.size() == kRanks);
      CHECK(answer.statuses[2] == 0);
      statuses[0] = std::max(statuses[0], answer.statuses[0]);
      statuses[1] = std::max(statuses[1], answer.statuses[1]);
    }
    CHECK(statuses[0] == kAccepted);
    CHECK(statuses[1] == kAccepted);
    CHECK(fixture.engine(0).last_order == map);
    CHECK(fixture.engine(1).last_order == map);
  });
}

// Guards against a group that is stalled for as long as a VM is frozen: an
// order to arm that is sent to a frozen VM may be carried out when it wakes.
TEST_CASE("a guarded order is not sent to a rank on a frozen VM") {
  WithFixture([](RankFixture& fixture) {
    fixture.engine(1).is_frozen = true;
    std::vector<std::uint32_t> statuses(kRanks);
    for (int i = 0; i < kMaxTries &&
                    (statuses[0] != kAccepted || statuses[2] != kAccepted);
         ++i) {
      const groups::MulticastResult answer = fixture.Multicast("arm", true);
      REQUIRE(answer.statuses.size() == kRanks);
      CHECK(answer.statuses[1] == groups::MulticastResult::kNotSent);
      statuses[0] = std::max(statuses[0], answer.statuses[0]);
      statuses[2] = std::max(statuses[2], answer.statuses[2]);
    }
    CHECK(statuses[0] == kAccepted);
    CHECK(statuses[2] == kAccepted);
    CHECK(fixture.engine(0).last_order == "arm");
    CHECK(fixture.engine(1).orders == 0);
    // It wakes; nothing is left that could reach it late.
    fixture.Stop();
    CHECK(fixture.engine(1).orders == 0);
  });
}

// Guards against a group that is stalled for 20 ms because one engine answers
// an order that late.
TEST_CASE("a guarded order that is not answered soon is sent once more") {
  WithFixture([](RankFixture& fixture) {
    fixture.engine(1).answers_only_repeated = true;
    std::uint32_t status = 0;
    for (int i = 0; i < kMaxTries && status != kAccepted; ++i) {
      status = fixture.Multicast("arm", true).statuses[1];
    }
    CHECK(status == kAccepted);
  });
}

}  // namespace
}  // namespace bilberryspool::control_node
