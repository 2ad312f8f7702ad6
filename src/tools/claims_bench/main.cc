// Measures the cost of at-most-once execution: messages of one request,
// processor time per request at an entry and per claim at a holder, and memory
// per key of a full ledger.

#include <malloc.h>

#include <boost/json/serialize.hpp>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

#include "libs/attempts/claim_holder.h"
#include "libs/attempts/messages_json.h"
#include "libs/attempts/request_machine.h"

namespace bilberryspool::attempts {
namespace {

constexpr int kKeys = 20000;
constexpr int kWorkspaces = 10;
// Fills a number up to the length of a UUID, the usual form of callers' ids.
constexpr char kUuidTail[] = "-4f3c-9a1b-27d6c0e8b5f4";
const std::vector<NodeId> kHolders = {
    NodeId("entry-sahab-1"), NodeId("entry-marka-2"), NodeId("entry-abdali-3")};

RequestKey MakeKey(int number) {
  return {Workspace("workspace-" + std::to_string(number % kWorkspaces)),
          RequestId(std::to_string(10000000 + number) + kUuidTail)};
}

RequestSpec MakeSpec(int number) {
  return {MakeKey(number),
          Fingerprint(static_cast<std::uint64_t>(number)),
          {kHolders[0], Incarnation(3),
           ClaimNumber(static_cast<std::uint64_t>(number))},
          false,
          false,
          TimeAt(Seconds(30)),
          false,
          {{RosterVersion(1), kHolders}}};
}

// Totals of the messages counted, and the claims and finishes of all requests.
struct Traffic {
  std::size_t messages = 0;
  std::size_t bytes = 0;
  std::vector<ClaimRequest> claims;
  std::vector<FinishClaim> finishes;

  template <typename Message>
  void Count(const Message& message) {
    ++messages;
    bytes += boost::json::serialize(ToJson(message)).size();
  }
};

// Runs one request until it is answered; all holders grant its claim. The
// messages are counted only if `count` is set.
void RunRequest(int number, Traffic* traffic, bool count) {
  RequestMachine machine({}, MakeSpec(number));
  machine.Handle(RequestStarted{}, TimeAt({}));
  const AdmissionToken token{Incarnation(1), TokenGeneration(0), Epoch(1)};
  const auto claims = machine.Handle(
      TargetChosen{TargetId("drafter-07"), token, true}, TimeAt({}));
  AttemptId attempt;
  for (const RequestAction& action : claims) {
    const auto& claim = std::get<SendClaim>(action);
    const ClaimAnswer answer{claim.request.key, claim.request.claimant,
                             claim.request.round, claim.holder, ClaimGranted{}};
    attempt = claim.request.attempt->attempt;
    machine.Handle(ClaimAnswered{answer}, TimeAt({}));
    if (count) {
      traffic->Count(claim.request);
      traffic->Count(answer);
    }
    traffic->claims.push_back(claim.request);
  }
  machine.Handle(AttemptChunk{attempt, 0, std::string(200, 'x')}, TimeAt({}));
  for (const RequestAction& action :
       machine.Handle(AttemptFinished{attempt, 200}, TimeAt({}))) {
    const auto* finish = std::get_if<SendFinish>(&action);
    if (finish == nullptr) {
      continue;
    }
    if (count) {
      traffic->Count(finish->finish);
    }
    traffic->finishes.push_back(finish->finish);
  }
}

std::size_t HeapBytes() {
  return mallinfo2().uordblks;
}

class Stopwatch {
 public:
  double MicrosecondsPer(int count) const {
    const auto elapsed = std::chrono::steady_clock::now() - started_;
    return std::chrono::duration<double, std::micro>(elapsed).count() / count;
  }

 private:
  std::chrono::steady_clock::time_point started_ =
      std::chrono::steady_clock::now();
};

void MeasureEntry(Traffic* traffic) {
  Traffic single_request;
  RunRequest(0, &single_request, true);
  std::printf("one request: %zu messages, %zu bytes of JSON\n",
              single_request.messages, single_request.bytes);
  const Stopwatch watch;
  for (int number = 0; number < kKeys; ++number) {
    RunRequest(number, traffic, false);
  }
  std::printf("entry: %.2f us a request\n", watch.MicrosecondsPer(kKeys));
}

// Sends the claims of all keys to one holder, as if it were a holder of each.
void MeasureHolder(const Traffic& traffic) {
  const std::size_t before = HeapBytes();
  ClaimHolder holder({}, kHolders[0], Incarnation(1), true, TimeAt({}));
  const Stopwatch claiming;
  for (std::size_t i = 0; i < traffic.claims.size(); i += kHolders.size()) {
    holder.Claim(traffic.claims[i], TimeAt(Seconds(1)));
  }
  std::printf("holder: %.2f us a claim\n", claiming.MicrosecondsPer(kKeys));
  const std::size_t claimed = HeapBytes();
  const Stopwatch finishing;
  for (std::size_t i = 0; i < traffic.finishes.size(); i += kHolders.size()) {
    holder.Finish(traffic.finishes[i], TimeAt(Seconds(2)));
  }
  std::printf("holder: %.2f us a finish\n", finishing.MicrosecondsPer(kKeys));
  std::printf(
      "ledger: %zu bytes a claimed key, %zu a finished one (200 kept)\n",
      (claimed - before) / kKeys, (HeapBytes() - before) / kKeys);
}

}  // namespace
}  // namespace bilberryspool::attempts

int main() {
  bilberryspool::attempts::Traffic traffic;
  bilberryspool::attempts::MeasureEntry(&traffic);
  bilberryspool::attempts::MeasureHolder(traffic);
  return 0;
}
