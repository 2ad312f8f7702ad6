// The only tenant's keys are taken away, one after the other; then the tenant
// is taken off the list.

#include "../common-2/harness.h"

using namespace review;

namespace {

constexpr int kGateways = 3;
constexpr double kConfigApply = 2.0;  // config_apply_ms

std::string Config(int version, const std::string& tenants) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-read","host":"read.example","path_prefix":"/read/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"dispatch","attempts":2,"allow_anonymous":false,"sticky_sessions":false,"resume_streams":false}],"services":[{"name":"dispatch","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":)" +
         tenants + "}";
}

}  // namespace

int main(int, char** argv) {
  Now();
  Record record(argv[1]);
  auto platform = std::make_unique<Platform>(record, 3, kGateways);
  const bool has_trouble = HasTrouble();
  record.Line("trouble: %s", has_trouble ? "yes" : "no");
  const auto fail = [&](const std::string& why) {
    Finish(platform, record, 2, why);
  };

  std::mutex mutex;
  std::set<std::string> run;
  std::vector<std::unique_ptr<Runner>> runners;
  static const char* kZones[] = {"sahab", "marka", "abdali"};
  for (int i = 0; i < 3; ++i) {
    runners.push_back(std::make_unique<Runner>(
        *platform, record, "i-" + std::to_string(i + 1), "dispatch",
        platform->runner_at(i + 1), kZones[i], 6));
    Runner* runner = runners.back().get();
    runner->set_run([&, runner](int fd, const Message& request) {
      const std::string id = request.field("bilberryspool-attempt-id");
      {
        std::lock_guard<std::mutex> lock(mutex);
        run.insert(id);
      }
      record.Line("runner %s runs %s for tenant '%s'", runner->id().c_str(),
                  id.c_str(), request.field("bilberryspool-tenant").c_str());
      Sleep(0.02);
      return SendAll(fd, WholeAnswer(request, "done"));
    });
  }
  for (Machine* machine : platform->controls())
    platform->Start(*machine);
  for (Machine* machine : platform->gateways())
    platform->Start(*machine);
  if (!platform->PutConfig(
          Config(
              3,
              R"([{"name":"t-mill","api_keys":["key-one","key-two"],"priority":1}])"),
          20)) {
    fail("no config was acknowledged");
  }
  for (auto& runner : runners) {
    if (!runner->Start())
      fail("a runner could not listen");
  }
  if (!platform->AwaitReady(20))
    fail("the gateways were not ready");
  Sleep(4.0);

  int number = 0;
  // Sends a request with the key to each gateway; returns how many ran.
  const auto send = [&](const std::string& key) {
    int count = 0;
    for (int g = 0; g < kGateways; ++g) {
      const std::string id = "a" + std::to_string(++number);
      const int fd = Connect(platform->front_of(*platform->gateways()[g]), 1);
      int status = 0;
      if (fd >= 0) {
        record.Line("client sends %s with %s to edge-%d", id.c_str(),
                    key.c_str(), g + 1);
        SendAll(fd,
                "GET /read/x HTTP/1.1\r\nHost: read.example\r\n"
                "Bilberryspool-Attempt-Id: " +
                    id + "\r\nBilberryspool-Deadline-Ms: 4000\r\nApi-Key: " +
                    key + "\r\n\r\n");
        const auto answer = Reader(fd).Read(Now() + 4, true);
        status = answer.has_value() ? answer->status() : 0;
        close(fd);
      }
      std::lock_guard<std::mutex> lock(mutex);
      const bool has_run = run.contains(id);
      count += has_run;
      record.Line("client got %d for %s%s", status, id.c_str(),
                  has_run ? ", it has run" : "");
    }
    return count;
  };
  if (send("key-one") == 0 || send("key-two") == 0)
    fail("no request ran");
  int wrong = send("key-never-held");
  if (has_trouble) {
    if (!platform->PutConfig(
            Config(
                9,
                R"([{"name":"t-mill","api_keys":["key-two"],"priority":1}])"),
            5)) {
      fail("the first revocation was not acknowledged");
    }
    Sleep(kConfigApply + 0.5);
    wrong += send("key-one");
    if (!platform->PutConfig(
            Config(12, R"([{"name":"t-mill","api_keys":[],"priority":1}])"),
            5)) {
      fail("the second revocation was not acknowledged");
    }
    Sleep(kConfigApply + 0.5);
    wrong += send("key-one");
    wrong += send("key-two");
    record.Line("with both keys taken away, %d requests ran", wrong);
    if (!platform->PutConfig(Config(14, "[]"), 5)) {
      Finish(platform, record, 0, "the last change was not acknowledged");
    }
    Sleep(kConfigApply + 0.5);
    for (int i = 0; i < 3; ++i) {
      wrong += send("key-one");
      wrong += send("key-two");
      wrong += send("key-never-held");
      Sleep(0.5);
    }
    const auto read = Call(platform->control_of(*platform->controls()[0]),
                           "GET", "/config", "", 2);
    record.Line("operator reads: %s",
                read.has_value() ? read->body.c_str() : "nothing");
  } else {
    Sleep(2 * kConfigApply);
    for (int i = 0; i < 3; ++i) {
      wrong += send("key-never-held");
      Sleep(0.5);
    }
  }
  Finish(platform, record, wrong > 0 ? 1 : 0,
         std::to_string(wrong) +
             " requests ran with a key that was taken away "
             "over config_apply_ms before, or that no config ever held");
}
