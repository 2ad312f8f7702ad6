#include "plugins/operators/operators_server.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <fstream>
#include <functional>
#include <thread>

#include "auto/operators/fake_operator_control.h"
#include "libs/language/rendering.h"
#include "libs/net/http_client.h"
#include "libs/net/network_loop.h"

namespace bilberryspool::operators {
namespace {

constexpr char kSecret[] = "an operators' credential";
constexpr char kSecretFile[] = "operators_server_test.key";

using Send = std::function<net::HttpResponse(const net::HttpRequest&)>;

net::HttpRequest Request(const char* method,
                         const char* target,
                         const std::string& body) {
  net::HttpRequest request;
  request.method = method;
  request.target = target;
  request.body = body;
  request.headers.Add("Authorization", std::string("Bearer ") + kSecret);
  request.headers.Add("Bilberryspool-Operator", "kim");
  return request;
}

void WithServer(FakeOperatorControl& control,
                const std::function<void(const Send&)>& body) {
  std::ofstream(kSecretFile) << kSecret << "\n";
  settings::EntrySettings settings;
  settings.operators_listen.ip = "127.0.0.1";
  settings.operators_credential_file = kSecretFile;
  net::NetworkLoop loop;
  std::thread thread([&] {
    loop.Run([&] {
      OperatorsServer server(loop, settings, control);
      REQUIRE(server.Start().empty());
      net::HttpClient client(loop, {});
      body([&](const net::HttpRequest& request) {
        auto sent =
            client.Send({"127.0.0.1", server.port()}, request, Seconds(20));
        REQUIRE(std::holds_alternative<net::HttpResponse>(sent));
        return std::get<net::HttpResponse>(std::move(sent));
      });
      server.Drain();
    });
  });
  thread.join();
  std::remove(kSecretFile);
}

TEST_CASE("requests without the credential are refused") {
  FakeOperatorControl control;
  WithServer(control, [&](const Send& send) {
    for (const char* target : {"/statement", "/status", "/log-level", "/x"}) {
      for (const std::string presented :
           {"", "Bearer", "Bearer ", "Bearer an operators' credentiaL",
            "Basic an operators' credential"}) {
        net::HttpRequest request = Request("POST", target, "drain target t1");
        request.headers.Set("Authorization", presented);
        const net::HttpResponse response = send(request);
        CHECK(response.head.status == 401);
        CHECK(response.body.find("credential") != std::string::npos);
      }
    }
  });
  CHECK(control.proposed.empty());
}

TEST_CASE("requests are answered with their status") {
  struct Row {
    net::HttpRequest request;
    int status;
    const char* text;
  };
  const Row rows[] = {
      {Request("POST", "/statement", "drain target t1"), 200, "accepted at"},
      {Request("POST", "/statement", "drain bus t1"), 400, "column 7"},
      {Request("POST", "/statement", "remove service x"), 409, "refused"},
      {Request("GET", "/statement", ""), 405, "POST"},
      {Request("GET", "/status", ""), 200, "\"applied_index\":"},
      {Request("POST", "/log-level", "debug\n"), 200, "log level debug"},
      {Request("POST", "/log-level", "loud"), 400, "info"},
      {Request("GET", "/other", ""), 404, "/statement"},
  };
  FakeOperatorControl control;
  WithServer(control, [&](const Send& send) {
    for (const Row& row : rows) {
      const net::HttpResponse response = send(row.request);
      CAPTURE(row.request.body);
      CHECK(response.head.status == row.status);
      CHECK(response.body.find(row.text) != std::string::npos);
    }
  });
}

TEST_CASE("each failure of the control replicas has its own status") {
  using control::ControlFailureKind;
  FakeOperatorControl control;
  control.failures = {{{ControlFailureKind::kNoLeader, ""}},
                      {{ControlFailureKind::kBusy, ""}},
                      {{ControlFailureKind::kUnknown, ""}}};
  WithServer(control, [&](const Send& send) {
    for (const int status : {503, 429, 504}) {
      const auto response =
          send(Request("POST", "/statement", "drain target t1"));
      CHECK(response.head.status == status);
      CHECK(response.head.headers.Find("Bilberryspool-Command-Id"));
    }
  });
}

TEST_CASE("header fields set the command, and the answer carries them") {
  FakeOperatorControl control;
  WithServer(control, [&](const Send& send) {
    net::HttpRequest request = Request("POST", "/statement", "drain target t1");
    request.headers.Add("Bilberryspool-Command-Id", "c-1");
    request.headers.Add("Bilberryspool-Read-Version", "0");
    request.headers.Add("Bilberryspool-Issued-After", "0");
    request.headers.Add("Accept", "application/json");
    const net::HttpResponse response = send(request);
    const net::HttpHeaders& headers = response.head.headers;
    CHECK(headers.Find("Bilberryspool-Command-Id") == "c-1");
    CHECK(headers.Find("Bilberryspool-Version") == "1");
    CHECK(headers.Find("Bilberryspool-Applied-Index") == "1");
    CHECK(language::AnswerFromJson(response.body).has_value());
    request.headers.Set("Bilberryspool-Read-Version", "1x");
    CHECK(send(request).head.status == 400);
  });
  REQUIRE(control.proposed.size() == 1);
  const config::Command& command = control.proposed.front();
  CHECK(command.operator_id == config::OperatorId("kim"));
  CHECK(command.expected == config::Expectation{ConfigVersion(0)});
  CHECK(command.issued_after == LogIndex(0));
}

TEST_CASE("the server does not start without a credential") {
  FakeOperatorControl control;
  settings::EntrySettings settings;
  settings.operators_credential_file = "no such file";
  net::NetworkLoop loop;
  OperatorsServer server(loop, settings, control);
  CHECK(server.Start().find("no such file") != std::string::npos);
}

}  // namespace
}  // namespace bilberryspool::operators
