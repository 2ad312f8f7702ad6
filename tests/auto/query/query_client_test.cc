#include "plugins/query/query_client.h"

#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <memory>
#include <thread>

#include "libs/net/http_server.h"
#include "libs/net/network_loop.h"

namespace bilberryspool::query {
namespace {

constexpr int kConnectionLost = 0;

// An entry that answers with these statuses in turn; for kConnectionLost it
// closes the connection after the request has arrived.
struct FakeEntry {
  FakeEntry(net::NetworkLoop& loop, std::deque<int> to_answer)
      : answers(std::move(to_answer)),
        server(loop, Options(), [this](net::HttpExchange& exchange) {
          Handle(exchange);
        }) {
    REQUIRE(server.Start().empty());
  }

  static net::HttpServerOptions Options() {
    net::HttpServerOptions options;
    options.listen = {"127.0.0.1", 0};
    return options;
  }

  void Handle(net::HttpExchange& exchange) {
    requests.push_back(exchange.request());
    REQUIRE_FALSE(answers.empty());
    const int status = answers.front();
    answers.pop_front();
    net::HttpResponseHead head;
    head.headers.Add("Bilberryspool-Applied-Index", "41");
    if (status == kConnectionLost) {
      exchange.BeginStream(std::move(head));
      exchange.AbortStream();
      return;
    }
    head.status = status;
    exchange.Respond(std::move(head), "answer " + std::to_string(status));
  }

  net::Endpoint endpoint() const { return {"127.0.0.1", server.port()}; }
  std::string_view Field(std::size_t request, const char* name) const {
    return requests.at(request).headers.ValueOr(name, "none");
  }

  std::deque<int> answers;
  std::vector<net::HttpRequest> requests;
  net::HttpServer server;
};

QueryOptions Options() {
  QueryOptions options;
  options.credential = "secret";
  options.operator_name = "kim";
  options.retry_delay = Duration(0);
  options.max_rounds = 2;
  return options;
}

void InLoop(const std::function<void(net::NetworkLoop&)>& body) {
  net::NetworkLoop loop;
  std::thread thread([&] { loop.Run([&] { body(loop); }); });
  thread.join();
}

TEST_CASE("exit code and text follow from the answers of the entries") {
  struct Row {
    const char* what;
    std::deque<int> first;
    std::deque<int> second;
    const char* statement;
    ExitCode code;
    const char* text;
  };
  const Row rows[] = {
      {"answered", {200}, {}, "drain target t1", ExitCode::kDone, "answer 200"},
      {"refused", {409}, {}, "drain target t1", ExitCode::kRefused, "answer"},
      {"no credential", {401}, {}, "show version", ExitCode::kRefused, "401"},
      {"wrong statement", {400}, {}, "drain x", ExitCode::kUsage, "400"},
      {"the next has a leader",
       {503},
       {200},
       "drain target t1",
       ExitCode::kDone,
       "answer 200"},
      {"lost, then found",
       {kConnectionLost},
       {200},
       "drain target t1",
       ExitCode::kDone,
       "answer 200"},
      {"nobody has a leader",
       {503, 429},
       {503, 503},
       "drain target t1",
       ExitCode::kUnreachable,
       "not done"},
      {"lost, and nobody has a leader",
       {kConnectionLost, 503},
       {503, 503},
       "drain target t1",
       ExitCode::kUnreachable,
       "--command_id=c-1 or with as \"c-1\" at its end"},
      {"lost, with an id of its own",
       {kConnectionLost, 503},
       {503, 503},
       "drain target t1 as \"c-9\"",
       ExitCode::kUnreachable,
       "send it again, unchanged: it"},
      {"unknown to the entries",
       {504, 504},
       {503, 503},
       "drain target t1",
       ExitCode::kUnreachable,
       "may or may not"},
      {"a question lost has no effect",
       {kConnectionLost, kConnectionLost},
       {kConnectionLost, kConnectionLost},
       "show version",
       ExitCode::kUnreachable,
       "not done"},
  };
  for (const Row& row : rows) {
    CAPTURE(row.what);
    InLoop([&](net::NetworkLoop& loop) {
      FakeEntry first(loop, row.first);
      FakeEntry second(loop, row.second);
      QueryOptions options = Options();
      options.entries = {first.endpoint(), second.endpoint()};
      QueryClient client(loop, options);
      const QueryResult result =
          client.Execute(row.statement, CommandId("c-1"));
      CHECK(result.code == row.code);
      CAPTURE(result.text);
      CHECK(result.text.find(row.text) != std::string::npos);
      CHECK(first.answers.empty());
      CHECK(second.answers.empty());
      first.server.Drain();
      second.server.Drain();
    });
  }
}

// Guards against a drain that is applied twice, the second time after it was
// undone: its answer is lost, and the client resends the statement to another
// entry with a new id, so it counts as a new command.
TEST_CASE("a resend carries the id of the first send") {
  InLoop([](net::NetworkLoop& loop) {
    FakeEntry first(loop, {kConnectionLost, 200});
    FakeEntry second(loop, {504});
    QueryOptions options = Options();
    options.read_version = ConfigVersion(7);
    options.entries = {first.endpoint(), second.endpoint()};
    QueryClient client(loop, options);
    CHECK(client.Execute("drain target t1", CommandId("c-1")).code ==
          ExitCode::kDone);
    for (const auto& [entry, request] :
         {std::pair(&first, 0), std::pair(&second, 0), std::pair(&first, 1)}) {
      CHECK(entry->Field(request, "Bilberryspool-Command-Id") == "c-1");
      CHECK(entry->Field(request, "Bilberryspool-Read-Version") == "7");
      CHECK(entry->Field(request, "Bilberryspool-Issued-After") == "none");
      CHECK(entry->Field(request, "Authorization") == "Bearer secret");
    }
    first.server.Drain();
    second.server.Drain();
  });
}

// Guards against an old change that is applied again when an operator resends
// it by hand: its outcome has been discarded since, and the client sends the
// index that it knows now instead of the one at the first send.
TEST_CASE("only a new command is sent with the latest applied index") {
  InLoop([](net::NetworkLoop& loop) {
    FakeEntry entry(loop, {200, 200, 200});
    QueryOptions options = Options();
    options.entries = {entry.endpoint()};
    QueryClient client(loop, options);
    client.Execute("show version", CommandId("c-1"));
    client.Execute("drain target t1", CommandId("c-2"));
    client.Execute("drain target t1 as \"c-0\"", CommandId("c-3"));
    CHECK(entry.Field(1, "Bilberryspool-Issued-After") == "41");
    CHECK(entry.Field(2, "Bilberryspool-Issued-After") == "none");
    entry.server.Drain();
  });
}

TEST_CASE("the entry that answered last is tried first") {
  InLoop([](net::NetworkLoop& loop) {
    FakeEntry first(loop, {503});
    FakeEntry second(loop, {200, 200});
    QueryOptions options = Options();
    options.entries = {first.endpoint(), second.endpoint()};
    QueryClient client(loop, options);
    client.Execute("show version", CommandId("c-1"));
    client.Execute("show version", CommandId("c-2"));
    CHECK(first.requests.size() == 1);
    CHECK(second.requests.size() == 2);
    first.server.Drain();
    second.server.Drain();
  });
}

TEST_CASE("an unreachable entry is skipped") {
  InLoop([](net::NetworkLoop& loop) {
    net::Endpoint gone;
    {
      FakeEntry entry(loop, {});
      gone = entry.endpoint();
      entry.server.Drain();
    }
    FakeEntry entry(loop, {200, 200});
    QueryOptions options = Options();
    options.entries = {gone, entry.endpoint()};
    QueryClient client(loop, options);
    CHECK(client.Execute("show version", CommandId("c-1")).code ==
          ExitCode::kDone);
    CHECK(client.Execute("show version", CommandId("c-2")).code ==
          ExitCode::kDone);
    entry.server.Drain();
    options.entries = {gone};
    options.json = true;
    QueryClient single_entry_client(loop, options);
    const QueryResult result =
        single_entry_client.Execute("drain target t1", CommandId("c-3"));
    CHECK(result.code == ExitCode::kUnreachable);
    CHECK(result.text.find("\"status\":\"refused\"") != std::string::npos);
  });
}

}  // namespace
}  // namespace bilberryspool::query
