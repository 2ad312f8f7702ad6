// A runner withdraws, the withdrawal is acknowledged, and right after that the
// processes of the core are killed and come back.

#include "../common-2/harness.h"

using namespace review;

namespace {

constexpr int kGateways = 9;
constexpr double kServesAfterAck = 14.0;

const char kConfig[] =
    R"({"version":3,"routes":[{"name":"r-ack","host":"ack.example","path_prefix":"/ack/","kind":"unsafe","timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"dispatch","attempts":1,"allow_anonymous":true,"sticky_sessions":false,"resume_streams":false}],"services":[{"name":"dispatch","health_path":"/health","max_connections":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}})";

struct Counts {
  std::mutex mutex;
  int answered = 0, refused = 0, failed = 0;
};

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

  std::vector<std::unique_ptr<Runner>> runners;
  static const char* kZones[] = {"sahab", "marka", "abdali"};
  struct Arrival {
    double at;
    std::string id;
  };
  std::mutex arrivals_mutex;
  std::vector<Arrival> arrivals;  // at the runner that leaves
  for (int i = 0; i < 3; ++i) {
    runners.push_back(std::make_unique<Runner>(
        *platform, record, "i-" + std::to_string(i + 1), "dispatch",
        platform->runner_at(i + 1), kZones[i], 6));
    Runner* runner = runners.back().get();
    const bool leaves = i == 0;
    runner->set_run([&, runner, leaves](int fd, const Message& request) {
      const std::string id = request.field("bilberryspool-attempt-id");
      if (leaves) {
        std::lock_guard<std::mutex> lock(arrivals_mutex);
        arrivals.push_back({Now(), id});
      }
      record.Line("runner %s runs %s", runner->id().c_str(), id.c_str());
      Sleep(0.06);
      return SendAll(fd, WholeAnswer(request, "done " + id));
    });
  }

  for (Machine* machine : platform->controls())
    platform->Start(*machine);
  for (Machine* machine : platform->gateways())
    platform->Start(*machine);
  if (!platform->PutConfig(kConfig, 20))
    fail("no config was acknowledged");
  for (auto& runner : runners) {
    if (!runner->Start())
      fail("a runner could not listen");
  }
  if (!platform->AwaitReady(20))
    fail("the gateways were not ready");
  Sleep(2.0);

  // Clients: one at each gateway, a request each 0.2 s on a kept connection.
  std::atomic<bool> go_on{true};
  Counts counts;
  std::vector<std::thread> clients;
  for (int g = 0; g < kGateways; ++g) {
    clients.emplace_back([&, g] {
      const Address front = platform->front_of(*platform->gateways()[g]);
      int fd = -1;
      std::unique_ptr<Reader> reader;
      for (int n = 0; go_on; ++n) {
        if (fd < 0) {
          fd = Connect(front, 1);
          if (fd < 0) {
            Sleep(0.2);
            continue;
          }
          reader = std::make_unique<Reader>(fd);
        }
        const std::string id =
            "c" + std::to_string(g + 1) + "-" + std::to_string(n);
        record.Line("client sends %s to edge-%d", id.c_str(), g + 1);
        SendAll(fd,
                "POST /ack/x HTTP/1.1\r\nHost: ack.example\r\n"
                "Bilberryspool-Attempt-Id: " +
                    id +
                    "\r\nBilberryspool-Deadline-Ms: 4000\r\n"
                    "Content-Length: 4\r\n\r\nwork");
        const auto answer = reader->Read(Now() + 4, true);
        const int status = answer.has_value() ? answer->status() : 0;
        record.Line("client got %d for %s", status, id.c_str());
        {
          std::lock_guard<std::mutex> lock(counts.mutex);
          ++(status == 200   ? counts.answered
             : status == 503 ? counts.refused
                             : counts.failed);
        }
        if (!answer.has_value() || answer->field("connection") == "close") {
          close(fd);
          fd = -1;
        }
        Sleep(0.2);
      }
      if (fd >= 0)
        close(fd);
    });
  }
  Sleep(4.0);

  // The runner leaves: it withdraws first, goes on serving, and exits.
  Runner& leaving = *runners.front();
  leaving.StopBeats();
  bool is_acknowledged = false;
  for (Machine* control : platform->controls()) {
    record.Line("runner %s sends DELETE to %s", leaving.id().c_str(),
                control->name.c_str());
    const auto answer = Call(platform->control_of(*control), "DELETE",
                             "/instances/" + leaving.id(), "", 1);
    if (answer.has_value() && answer->status() == 200) {
      is_acknowledged = true;
      break;
    }
  }
  const double acknowledged_at = Now();
  if (has_trouble) {
    for (Machine* machine : platform->controls()) {
      platform->Signal(*machine, SIGKILL);
    }
    record.Line("the processes of the core are killed");
  }
  record.Line("runner %s is acknowledged as gone at %.4f", leaving.id().c_str(),
              acknowledged_at);
  if (!is_acknowledged)
    fail("the withdrawal was not acknowledged");
  double stable_from = acknowledged_at;
  if (has_trouble) {
    for (Machine* machine : platform->controls())
      platform->End(*machine, SIGKILL);
    Sleep(0.4);
    for (Machine* machine : platform->controls())
      platform->Start(*machine);
    stable_from = Now() + platform->bounds().stable_window_ms / 1000.0;
  }
  Sleep(acknowledged_at + kServesAfterAck - Now());
  leaving.Exit();
  record.Line("runner %s exits", leaving.id().c_str());
  Sleep(1.0);
  go_on = false;
  for (std::thread& client : clients)
    client.join();

  // DRAIN, at machines in touch only: the core has been stable for the whole
  // window, and the request arrives later than drain_ms after the
  // acknowledgement.
  const double from =
      std::max(acknowledged_at + platform->bounds().drain_ms / 1000.0,
               stable_from) +
      0.2;
  int late = 0, before = 0;
  {
    std::lock_guard<std::mutex> lock(arrivals_mutex);
    for (const Arrival& arrival : arrivals) {
      before += arrival.at < acknowledged_at;
      if (arrival.at > from) {
        ++late;
        record.Line(
            "late: %s reached runner %s %.3f s after the acknowledgement",
            arrival.id.c_str(), leaving.id().c_str(),
            arrival.at - acknowledged_at);
      }
    }
  }
  record.Line("clients: %d answered, %d refused, %d failed", counts.answered,
              counts.refused, counts.failed);
  if (before == 0)
    fail("the runner got no request before it left");
  Finish(platform, record, late > 0 ? 1 : 0,
         std::to_string(late) +
             " requests reached a runner over drain_ms after "
             "it was acknowledged as gone, from machines in touch");
}
