#include "libs/net/link_authenticator.h"

#include <doctest/doctest.h>

namespace bilberryspool::net {
namespace {

constexpr std::string_view kKey = "a key of the test, long enough";

HttpRequest SignedRequest(const LinkAuthenticator& link) {
  HttpRequest request;
  request.method = "POST";
  request.target = "/rpc";
  request.body = "{}";
  request.headers.Add("Bilberryspool-Attempt", "a1");
  link.SignRequest(request);
  return request;
}

TEST_CASE("a peer with the same key and deployment is identified by its node") {
  const LinkAuthenticator link("d", NodeId("n1"), kKey);
  const auto checked = link.CheckRequest(SignedRequest(link));
  REQUIRE(std::holds_alternative<NodeId>(checked));
  CHECK(std::get<NodeId>(checked) == NodeId("n1"));
}

// Guards against serving a process of another deployment or a modified message.
// Each request differs from a signed one in one place; the fault would be that
// the hash does not cover this place.
TEST_CASE("a request that was changed after signing is refused") {
  using Change = void (*)(HttpRequest&);
  struct Row {
    const char* name;
    Change change;
    LinkRefusal refusal;
  };
  const Row rows[] = {
      {"body", [](HttpRequest& r) { r.body = "x"; }, LinkRefusal::kWrongKey},
      {"target", [](HttpRequest& r) { r.target = "/"; },
       LinkRefusal::kWrongKey},
      {"method", [](HttpRequest& r) { r.method = "PUT"; },
       LinkRefusal::kWrongKey},
      {"protected field",
       [](HttpRequest& r) { r.headers.Set("Bilberryspool-Attempt", "a2"); },
       LinkRefusal::kWrongKey},
      {"sender", [](HttpRequest& r) { r.headers.Set(kLinkSenderHeader, "n2"); },
       LinkRefusal::kWrongKey},
      {"mac", [](HttpRequest& r) { r.headers.Set(kLinkMacHeader, "00"); },
       LinkRefusal::kWrongKey},
      {"deployment",
       [](HttpRequest& r) { r.headers.Set(kLinkDeploymentHeader, "e"); },
       LinkRefusal::kOtherDeployment},
      {"no mac", [](HttpRequest& r) { r.headers.Remove(kLinkMacHeader); },
       LinkRefusal::kUnsigned}};
  const LinkAuthenticator link("d", NodeId("n1"), kKey);
  for (const Row& row : rows) {
    CAPTURE(row.name);
    HttpRequest request = SignedRequest(link);
    row.change(request);
    const auto checked = link.CheckRequest(request);
    REQUIRE(std::holds_alternative<LinkRefusal>(checked));
    CHECK(std::get<LinkRefusal>(checked) == row.refusal);
  }
}

TEST_CASE("a peer with another key is refused") {
  const LinkAuthenticator link("d", NodeId("n1"), kKey);
  const LinkAuthenticator other("d", NodeId("n2"), "another key, long enough");
  const auto checked = link.CheckRequest(SignedRequest(other));
  CHECK(std::holds_alternative<LinkRefusal>(checked));
}

}  // namespace
}  // namespace bilberryspool::net
