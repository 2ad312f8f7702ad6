// Support for the scripts of the second review: starts the programs of the
// deploy file as separate processes on loopback addresses, with settings made
// from the templates in platform/, and has small stand-ins for clients, runners
// and the platform. Standard library and POSIX only.

#ifndef REVIEW_COMMON_2_HARNESS_H_
#define REVIEW_COMMON_2_HARNESS_H_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

inline double Now() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  static const double start = now.tv_sec + now.tv_nsec * 1e-9;
  return now.tv_sec + now.tv_nsec * 1e-9 - start;
}

inline void Sleep(double seconds) {
  if (seconds > 0) {
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
  }
}

// record.txt: what was sent, answered and run.
class Record {
 public:
  explicit Record(const std::string& path) : file_(fopen(path.c_str(), "w")) {}
  void Line(const char* format, ...) {
    std::lock_guard<std::mutex> lock(mutex_);
    fprintf(file_, "%9.4f ", Now());
    va_list list;
    va_start(list, format);
    vfprintf(file_, format, list);
    va_end(list);
    fputc('\n', file_);
    fflush(file_);
  }

 private:
  std::mutex mutex_;
  FILE* file_;
};

struct Address {
  std::string ip;
  int port = 0;
  std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in ToSocketAddress(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_port = htons(static_cast<std::uint16_t>(address.port));
  inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
  return out;
}

inline int Listen(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in to = ToSocketAddress(address);
  if (bind(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0 ||
      listen(fd, 1024) != 0) {
    close(fd);
    return -1;
  }
  return fd;
}

inline int Connect(const Address& address, double timeout_s) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  sockaddr_in to = ToSocketAddress(address);
  if (connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    pollfd wait{fd, POLLOUT, 0};
    int error = 0;
    socklen_t size = sizeof error;
    if (errno != EINPROGRESS ||
        poll(&wait, 1, static_cast<int>(timeout_s * 1000)) != 1 ||
        getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 ||
        error != 0) {
      close(fd);
      return -1;
    }
  }
  fcntl(fd, F_SETFL, 0);
  const int one = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}

inline bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) {
      return false;
    }
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

// Reads one HTTP message at a time from a connection.
class Reader {
 public:
  explicit Reader(int fd) : fd_(fd) {}

  struct Message {
    std::string first;                          // request line or status line
    std::map<std::string, std::string> fields;  // names in lower case
    std::string body;
    int status() const {
      return first.size() > 12 ? atoi(first.c_str() + 9) : 0;
    }
    std::string field(const std::string& name) const {
      const auto found = fields.find(name);
      return found == fields.end() ? "" : found->second;
    }
  };

  // Returns nothing at the end of the connection, an error or the time limit.
  std::optional<Message> Read(double deadline, bool is_response) {
    Message message;
    std::size_t end;
    while ((end = buffer_.find("\r\n\r\n")) == std::string::npos) {
      if (!Fill(deadline)) {
        return std::nullopt;
      }
    }
    std::istringstream head(buffer_.substr(0, end));
    buffer_.erase(0, end + 4);
    std::string line;
    std::getline(head, line);
    message.first = line.substr(0, line.find('\r'));
    while (std::getline(head, line)) {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      for (char& c : name) {
        c = static_cast<char>(tolower(c));
      }
      std::string value = line.substr(colon + 1);
      while (!value.empty() && isspace(value.front())) {
        value.erase(0, 1);
      }
      while (!value.empty() && isspace(value.back())) {
        value.pop_back();
      }
      message.fields[name] = value;
    }
    if (message.field("transfer-encoding") == "chunked") {
      while (true) {
        std::size_t stop;
        while ((stop = buffer_.find("\r\n")) == std::string::npos) {
          if (!Fill(deadline)) {
            return std::nullopt;
          }
        }
        const std::size_t size = strtoul(buffer_.c_str(), nullptr, 16);
        while (buffer_.size() < stop + 4 + size) {
          if (!Fill(deadline)) {
            return std::nullopt;
          }
        }
        message.body += buffer_.substr(stop + 2, size);
        buffer_.erase(0, stop + 4 + size);
        if (size == 0) {
          return message;
        }
      }
    }
    const std::string length = message.field("content-length");
    const std::size_t size = length.empty() ? 0 : std::stoul(length);
    if (length.empty() && is_response && message.status() != 204) {
      while (Fill(deadline)) {
      }
      message.body.swap(buffer_);
      return message;
    }
    buffer_.reserve(size);
    while (buffer_.size() < size) {
      if (!Fill(deadline)) {
        return std::nullopt;
      }
    }
    message.body = buffer_.substr(0, size);
    buffer_.erase(0, size);
    return message;
  }

  // Whether the other end closed or reset the connection, as opposed to the
  // time limit.
  bool has_ended() const { return has_ended_; }
  // Whether any byte has arrived.
  bool has_begun() const { return has_begun_; }

 private:
  bool Fill(double deadline) {
    const double left = deadline - Now();
    pollfd wait{fd_, POLLIN, 0};
    if (left <= 0 || poll(&wait, 1, static_cast<int>(left * 1000) + 1) != 1) {
      return false;
    }
    char bytes[65536];
    const ssize_t n = recv(fd_, bytes, sizeof bytes, 0);
    if (n <= 0) {
      has_ended_ = true;
      return false;
    }
    has_begun_ = true;
    buffer_.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  int fd_;
  std::string buffer_;
  bool has_ended_ = false;
  bool has_begun_ = false;
};

using Message = Reader::Message;

// One call on a connection of its own.
inline std::optional<Message> Call(const Address& to,
                                   const std::string& method,
                                   const std::string& path,
                                   const std::string& body,
                                   double timeout_s) {
  const double deadline = Now() + timeout_s;
  const int fd = Connect(to, timeout_s);
  if (fd < 0) {
    return std::nullopt;
  }
  std::string request =
      method + " " + path + " HTTP/1.1\r\nHost: " + to.text() +
      "\r\nContent-Type: application/json\r\n" +
      "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  std::optional<Message> answer;
  if (SendAll(fd, request)) {
    answer = Reader(fd).Read(deadline, true);
  }
  close(fd);
  return answer;
}

inline std::string Replace(std::string text,
                           const std::string& from,
                           const std::string& to) {
  for (std::size_t at = text.find(from); at != std::string::npos;
       at = text.find(from, at + to.size())) {
    text.replace(at, from.size(), to);
  }
  return text;
}

// A machine of the platform: one address, one role, one process.
struct Machine {
  std::string role;  // gateway or control
  std::string name;
  std::string ip;
  std::string zone;
  pid_t pid = -1;
  double started_at = -1;
  bool has_started_before = false;
};

struct Bounds {
  int heartbeat_ms = 1200;
  int stable_window_ms = 3000;
  int drain_ms = 2000;
  int grace_s = 8;
  double retry_budget_ratio = 0.2;
  int budget_window_s = 10;
  int budget_slack = 94;
  int tolerated_machines = 1;
};

// The platform: settings, processes, signals.
class Platform {
 public:
  Platform(Record& record, int controls, int gateways)
      : record_(record), port_(FindPorts()) {
    char name[] = "/tmp/review-XXXXXX";
    folder_ = mkdtemp(name);
    static const char* kZones[] = {"sahab", "marka", "abdali"};
    for (int i = 0; i < controls; ++i) {
      machines_.push_back({"control", "core-" + std::to_string(i + 1),
                           "127.0.10." + std::to_string(i + 1), kZones[i % 3]});
    }
    for (int i = 0; i < gateways; ++i) {
      machines_.push_back({"gateway", "edge-" + std::to_string(i + 1),
                           "127.0.20." + std::to_string(i + 1), kZones[i % 3]});
    }
    for (Machine& machine : machines_) {
      (machine.role == "control" ? controls_ : gateways_).push_back(&machine);
    }
  }
  ~Platform() {
    for (Machine& machine : machines_) {
      End(machine, SIGKILL);
    }
    // The folder is this test's own.
    const std::string command = "rm -rf '" + folder_ + "'";
    if (system(command.c_str()) != 0) {
      record_.Line("the temporary folder was not removed");
    }
  }

  std::vector<Machine*>& controls() { return controls_; }
  std::vector<Machine*>& gateways() { return gateways_; }
  Address control_of(const Machine& machine) const {
    return {machine.ip, port_ + 9};
  }
  Address front_of(const Machine& machine) const {
    return {machine.ip, port_ + 7};
  }
  Address readiness_of(const Machine& machine) const {
    return {machine.ip, port_};
  }
  Address runner_at(int number) const {
    return {"127.0.30." + std::to_string(number), port_ + 8};
  }
  // A free address that no process of the platform uses.
  Address address(const std::string& ip, int offset) const {
    return {ip, port_ + offset};
  }
  const std::string& folder() const { return folder_; }
  Bounds& bounds() { return bounds_; }

  void Start(Machine& machine) {
    const std::string settings = WriteSettings(machine);
    const std::string log = folder_ + "/" + machine.name + ".log";
    std::vector<std::string> variables = {"BILBERRYSPOOL_CONFIG=" + settings};
    for (const char* name : {"PATH", "HOME", "LANG"}) {
      if (const char* value = getenv(name)) {
        variables.push_back(std::string(name) + "=" + value);
      }
    }
    std::vector<char*> environment;
    for (std::string& variable : variables) {
      environment.push_back(variable.data());
    }
    environment.push_back(nullptr);
    const std::string argument = "--settings=" + settings;
    const pid_t pid = fork();
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int out = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2(out, 1);
      dup2(out, 2);
      execle("target/bin/bilberryspool", "target/bin/bilberryspool",
             machine.role.c_str(), argument.c_str(), nullptr,
             environment.data());
      _exit(127);
    }
    machine.pid = pid;
    machine.started_at = Now();
    machine.has_started_before = true;
    record_.Line("platform starts %s", machine.name.c_str());
  }
  void Signal(Machine& machine, int number) {
    if (machine.pid > 0) {
      kill(machine.pid, number);
    }
  }
  void End(Machine& machine, int number) {
    if (machine.pid > 0) {
      kill(machine.pid, SIGCONT);
      kill(machine.pid, number);
      waitpid(machine.pid, nullptr, 0);
      machine.pid = -1;
    }
  }
  // Returns whether the process has ended by itself, and takes note of it.
  bool HasEnded(Machine& machine) {
    int status = 0;
    if (machine.pid <= 0 || waitpid(machine.pid, &status, WNOHANG) <= 0) {
      return false;
    }
    machine.pid = -1;
    record_.Line("%s has ended by itself, status %d", machine.name.c_str(),
                 status);
    return true;
  }
  // Prints the ends of the logs, for a case that could not run.
  void ShowLogs() {
    for (const Machine& machine : machines_) {
      const std::string command =
          "tail -n 5 '" + folder_ + "/" + machine.name + ".log' 1>&2";
      if (system(command.c_str()) != 0) {
        return;
      }
    }
  }

  bool IsReady(const Machine& machine) {
    const auto answer = Call(readiness_of(machine), "GET", "/ready", "", 1);
    return answer.has_value() && answer->status() == 200;
  }
  // Sends a config as an operator does: to another node until it is accepted.
  bool PutConfig(const std::string& config, double limit_s) {
    const double limit = Now() + limit_s;
    for (std::size_t i = 0; Now() < limit; ++i) {
      const auto answer = Call(control_of(*controls_[i % controls_.size()]),
                               "PUT", "/config", config, 2);
      if (answer.has_value() && answer->status() == 200) {
        record_.Line("operator: the config is acknowledged");
        return true;
      }
      Sleep(0.2);
    }
    return false;
  }
  bool AwaitReady(double limit_s) {
    const double limit = Now() + limit_s;
    for (Machine* machine : gateways_) {
      while (!IsReady(*machine)) {
        if (Now() > limit) {
          return false;
        }
        Sleep(0.1);
      }
    }
    return true;
  }

 private:
  static int FindPorts() {
    for (int i = 0; i < 200; ++i) {
      const int port =
          21000 + static_cast<int>((getpid() * 37 + i * 101) % 900) * 10;
      bool is_free = true;
      for (const char* ip : {"127.0.10.1", "127.0.20.1", "127.0.30.1"}) {
        for (int offset = 0; offset < 10 && is_free; ++offset) {
          const int fd = Listen({ip, port + offset});
          is_free = fd >= 0;
          if (fd >= 0) {
            close(fd);
          }
        }
      }
      if (is_free) {
        return port;
      }
    }
    exit(2);
  }

  std::string WriteSettings(const Machine& machine) const {
    std::ifstream file("platform/" + machine.role + ".toml.in");
    std::stringstream stream;
    stream << file.rdbuf();
    std::string text = stream.str();
    std::string seeds = "[";
    for (const Machine* control : controls_) {
      seeds += (seeds.size() > 1 ? ",\"" : "\"") + control_of(*control).text() +
               "\"";
    }
    seeds += "]";
    const std::string data = folder_ + "/data-" + machine.name;
    mkdir(data.c_str(), 0755);
    const std::map<std::string, std::string> values = {
        {"node", machine.name},
        {"zone", machine.zone},
        {"ip", machine.ip},
        {"data_dir", data},
        {"listen.control", control_of(machine).text()},
        {"listen.front", front_of(machine).text()},
        {"listen.readiness_address", readiness_of(machine).text()},
        {"internal_port_range.0", std::to_string(port_ + 2)},
        {"internal_port_range.1", std::to_string(port_ + 3)},
        {"seeds|json", seeds},
        {"bootstrap", machine.has_started_before ? "false" : "true"},
        {"fault_tolerance.machines",
         std::to_string(bounds_.tolerated_machines)},
        {"heartbeat_ms", std::to_string(bounds_.heartbeat_ms)},
        {"bounds.grace_s", std::to_string(bounds_.grace_s)},
        {"bounds.retry_budget_ratio",
         std::to_string(bounds_.retry_budget_ratio)},
        {"bounds.budget_slack", std::to_string(bounds_.budget_slack)},
        {"bounds.budget_window_s", std::to_string(bounds_.budget_window_s)},
        {"bounds.cold_overage", ""},
        {"bounds.cold_slack", ""},
    };
    for (const auto& [name, value] : values) {
      text = Replace(text, "{{" + name + "}}", value);
    }
    const std::string path = folder_ + "/" + machine.name + ".toml";
    std::ofstream(path) << text;
    return path;
  }

  Record& record_;
  int port_;
  std::string folder_;
  Bounds bounds_;
  std::vector<Machine> machines_;
  std::vector<Machine*> controls_;
  std::vector<Machine*> gateways_;
};

// A runner: announces itself, checks the instance, and lets `run` answer.
class Runner {
 public:
  // Answers on `fd`; returns whether the connection is kept.
  using Run = std::function<bool(int fd, const Message& request)>;

  Runner(Platform& platform,
         Record& record,
         std::string id,
         std::string service,
         Address address,
         std::string zone,
         int slots)
      : platform_(platform),
        record_(record),
        id_(std::move(id)),
        service_(std::move(service)),
        address_(std::move(address)),
        zone_(std::move(zone)),
        slots_(slots) {}

  const std::string& id() const { return id_; }
  const Address& address() const { return address_; }
  void set_run(Run run) { run_ = std::move(run); }

  bool Start() {
    listener_ = Listen(address_);
    if (listener_ < 0) {
      return false;
    }
    std::thread([this] { Accept(); }).detach();
    std::thread([this] { Beat(); }).detach();
    return true;
  }
  // No more check-ins; none is on its way when this returns.
  void StopBeats() {
    std::lock_guard<std::mutex> lock(beat_mutex_);
    beats_ = false;
  }
  // Reports that it is draining until that is acknowledged, then withdraws.
  void Drain() {
    state_ = "draining";
    Tell("PUT", Announcement());
  }
  void Withdraw() {
    StopBeats();
    Tell("DELETE", "");
  }
  // As the end of the process: no more connections, the present ones end.
  void Exit() {
    beats_ = false;
    has_exited_ = true;
    shutdown(listener_, SHUT_RDWR);
    close(listener_);
    std::lock_guard<std::mutex> lock(mutex_);
    for (const int fd : open_) {
      shutdown(fd, SHUT_RDWR);
    }
  }

 private:
  std::string Announcement() {
    return "{\"service\":\"" + service_ + "\",\"address\":\"" +
           address_.text() + "\",\"zone\":\"" + zone_ +
           "\",\"version\":\"v1\",\"slots\":" + std::to_string(slots_) +
           ",\"state\":\"" + std::string(state_) +
           "\",\"cold_remaining_ms\":0,\"sequence\":" +
           std::to_string(++sequence_) + "}";
  }
  void Tell(const std::string& method, const std::string& body) {
    for (int i = 0; i < 10; ++i) {
      auto& controls = platform_.controls();
      const auto answer =
          Call(platform_.control_of(*controls[i % controls.size()]), method,
               "/instances/" + id_, body, 1);
      if (answer.has_value() && answer->status() == 200) {
        record_.Line("runner %s: %s %s is acknowledged", id_.c_str(),
                     method.c_str(), method == "PUT" ? state_.load() : "");
        return;
      }
    }
  }
  // Beats go to one node until one fails there.
  void Beat() {
    std::size_t node = static_cast<std::size_t>(address_.ip.back());
    while (beats_) {
      std::unique_lock<std::mutex> lock(beat_mutex_);
      auto& controls = platform_.controls();
      bool is_acknowledged = false;
      for (std::size_t i = 0; i < controls.size() && beats_; ++i) {
        const auto answer =
            Call(platform_.control_of(*controls[node % controls.size()]), "PUT",
                 "/instances/" + id_, Announcement(), 1);
        is_acknowledged = answer.has_value() && answer->status() == 200;
        if (is_acknowledged) {
          break;
        }
        ++node;
      }
      lock.unlock();
      Sleep(platform_.bounds().heartbeat_ms / 1000.0);
    }
  }
  void Accept() {
    while (!has_exited_) {
      const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        Sleep(0.01);
        continue;
      }
      {
        std::lock_guard<std::mutex> lock(mutex_);
        open_.insert(fd);
      }
      std::thread([this, fd] {
        Serve(fd);
        std::lock_guard<std::mutex> lock(mutex_);
        open_.erase(fd);
        close(fd);
      }).detach();
    }
  }
  void Serve(int fd) {
    const int one = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    Reader reader(fd);
    while (!has_exited_) {
      const auto request = reader.Read(Now() + 60, false);
      if (!request.has_value()) {
        return;
      }
      const std::string expected =
          request->field("bilberryspool-expect-instance");
      if (!expected.empty() && expected != id_) {
        record_.Line("runner %s answers 421 to %s", id_.c_str(),
                     request->field("bilberryspool-attempt-id").c_str());
        if (!SendAll(fd,
                     "HTTP/1.1 421 Misdirected Request\r\n"
                     "Bilberryspool-Not-Executed: 1\r\n"
                     "Content-Length: 0\r\n\r\n")) {
          return;
        }
        continue;
      }
      if (!run_(fd, *request)) {
        return;
      }
    }
  }

  Platform& platform_;
  Record& record_;
  std::string id_;
  std::string service_;
  Address address_;
  std::string zone_;
  int slots_;
  Run run_;
  int listener_ = -1;
  std::atomic<const char*> state_{"ready"};
  std::mutex beat_mutex_;  // held while a check-in is on its way
  std::atomic<bool> beats_{true};
  std::atomic<bool> has_exited_{false};
  std::atomic<std::uint64_t> sequence_{0};
  std::mutex mutex_;
  std::set<int> open_;
};

// A runner's own whole answer.
inline std::string WholeAnswer(const Message& request,
                               const std::string& body) {
  return "HTTP/1.1 200 OK\r\nBilberryspool-Attempt-Id: " +
         request.field("bilberryspool-attempt-id") +
         "\r\nBilberryspool-Response-Seal: seal\r\n"
         "Bilberryspool-Server-Load: 1,0,6\r\n"
         "Content-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Ends the process with the verdict: 0 held, 1 broken, 2 could not run.
[[noreturn]] inline void Finish(std::unique_ptr<Platform>& platform,
                                Record& record,
                                int verdict,
                                const std::string& why) {
  record.Line("verdict %d: %s", verdict, why.c_str());
  printf("%s: %s\n",
         verdict == 0   ? "held"
         : verdict == 1 ? "BROKEN"
                        : "could not run",
         why.c_str());
  fflush(stdout);
  if (verdict == 2 && platform != nullptr) {
    platform->ShowLogs();
  }
  platform.reset();
  _exit(verdict);
}

inline bool HasTrouble() {
  const char* value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

}  // namespace review

#endif  // REVIEW_COMMON_2_HARNESS_H_
