// A change of the config adds a route whose host is written with capitals.

#include "../common-2/harness.h"

using namespace review;

namespace {

constexpr int kGateways = 3;
constexpr double kConfigApply = 2.0;  // config_apply_ms

std::string Config(int version, const std::string& added) {
  return R"({"version":)" + std::to_string(version) +
         R"(,"routes":[{"name":"r-read","host":"read.example","path_prefix":"/read/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"dispatch","attempts":2,"allow_anonymous":true,"sticky_sessions":false,"resume_streams":false})" +
         added +
         R"(],"services":[{"name":"dispatch","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";
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
  if (!platform->PutConfig(Config(3, ""), 20)) {
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
  // Sends a request to each gateway; returns how many got the status.
  const auto send = [&](const std::string& host, const std::string& path,
                        int wanted) {
    int count = 0;
    for (int g = 0; g < kGateways; ++g) {
      const std::string id = "a" + std::to_string(++number);
      const int fd = Connect(platform->front_of(*platform->gateways()[g]), 1);
      int status = 0;
      if (fd >= 0) {
        record.Line("client sends %s to edge-%d, Host: %s", id.c_str(), g + 1,
                    host.c_str());
        SendAll(fd, "GET " + path + " HTTP/1.1\r\nHost: " + host +
                        "\r\nBilberryspool-Attempt-Id: " + id +
                        "\r\nBilberryspool-Deadline-Ms: 4000\r\n\r\n");
        const auto answer = Reader(fd).Read(Now() + 4, true);
        status = answer.has_value() ? answer->status() : 0;
        close(fd);
      }
      count += status == wanted;
      record.Line("client got %d for %s", status, id.c_str());
    }
    return count;
  };
  if (send("read.example", "/read/x", 200) != kGateways)
    fail("nothing was served");
  int refused = 0;
  if (has_trouble) {
    if (!platform->PutConfig(
            Config(
                9,
                R"(,{"name":"r-kiln","host":"Kiln.Example","path_prefix":"/kiln/","kind":"safe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"dispatch","attempts":2,"allow_anonymous":true,"sticky_sessions":false,"resume_streams":false})"),
            5)) {
      Finish(platform, record, 0, "the change was not acknowledged");
    }
    Sleep(kConfigApply + 0.5);
    for (int i = 0; i < 10; ++i) {
      refused += send("Kiln.Example", "/kiln/x", 404);
      Sleep(0.2);
    }
    refused += send("kiln.example", "/kiln/x", 404);
    const auto read = Call(platform->control_of(*platform->controls()[0]),
                           "GET", "/config", "", 2);
    record.Line("operator reads: %s",
                read.has_value() ? read->body.c_str() : "nothing");
  } else {
    Sleep(kConfigApply + 0.5);
    for (int i = 0; i < 10; ++i) {
      refused += send("read.example", "/read/x", 404);
      Sleep(0.2);
    }
  }
  Finish(platform, record, refused > 10 ? 1 : 0,
         std::to_string(refused) +
             " requests were refused with 404 over "
             "config_apply_ms after their route was confirmed");
}
