#include "tools/soak/deployment.h"

#include <filesystem>
#include <fstream>

namespace bilberryspool::soak {

namespace {

// Port offsets from the first port, the same for each control node: each has an
// address of its own.
constexpr std::uint32_t kOperatorsPort = 10;
constexpr std::uint32_t kPeersPort = 20;
constexpr std::uint32_t kControlMetricsPort = 30;
// Port offsets of the first gateway; the others use the following ports.
constexpr std::uint32_t kCallersPort = 40;
constexpr std::uint32_t kReadinessPort = 50;
constexpr std::uint32_t kGatewayMetricsPort = 60;

// Last octets in 127.0.0.0/8 of the first control node: the address it listens
// on, and the address of its relay, which it advertises.
constexpr std::uint32_t kFirstHost = 1;
constexpr std::uint32_t kFirstKnownHost = 11;

std::string HostOf(std::uint32_t last) {
  return "127.0.0." + std::to_string(last);
}

std::string Quoted(const std::string& text) {
  return '"' + text + '"';
}

// Builds the text of a settings file.
class SettingsText {
 public:
  SettingsText& Set(const std::string& key, const std::string& value) {
    text_ += key + " = " + value + "\n";
    return *this;
  }
  SettingsText& SetText(const std::string& key, const std::string& value) {
    return Set(key, Quoted(value));
  }
  std::string Write(const std::string& path) const {
    std::ofstream file(path);
    file << text_;
    return file.good() ? "" : "can't write " + path;
  }

 private:
  std::string text_;
};

}  // namespace

Deployment::Deployment(net::NetworkLoop& loop, DeploymentOptions options)
    : options_(std::move(options)), loop_(loop) {}

std::string Deployment::PathOf(const std::string& file) const {
  return options_.folder + "/" + file;
}

std::uint16_t Deployment::Port(std::uint32_t offset) const {
  return static_cast<std::uint16_t>(options_.first_port + offset);
}

std::string Deployment::ControlName(std::uint32_t number) {
  return "control-" + std::to_string(number);
}

std::string Deployment::GatewayName(std::uint32_t number) {
  return "gateway-" + std::to_string(number);
}

net::Endpoint Deployment::operators(std::uint32_t control) const {
  return {HostOf(kFirstHost + control), Port(kOperatorsPort)};
}

net::Endpoint Deployment::callers(std::uint32_t gateway) const {
  return {HostOf(kFirstHost), Port(kCallersPort + gateway)};
}

net::Endpoint Deployment::readiness(std::uint32_t gateway) const {
  return {HostOf(kFirstHost), Port(kReadinessPort + gateway)};
}

std::string Deployment::Seeds() const {
  std::string seeds;
  for (std::uint32_t i = 0; i < options_.controls; ++i) {
    const net::Endpoint known{HostOf(kFirstKnownHost + i),
                              Port(kOperatorsPort)};
    seeds += (i == 0 ? "" : ", ") + Quoted(known.ToString());
  }
  return "[" + seeds + "]";
}

std::string Deployment::WriteControl(std::uint32_t number,
                                     bool is_first_start) const {
  const net::Endpoint peers{HostOf(kFirstHost + number), Port(kPeersPort)};
  const net::Endpoint known{HostOf(kFirstKnownHost + number), Port(kPeersPort)};
  const net::Endpoint metrics{HostOf(kFirstHost + number),
                              Port(kControlMetricsPort)};
  SettingsText text;
  text.SetText("role", "control")
      .SetText("deployment", "soak")
      .SetText("node", ControlName(number))
      .SetText("failure_domain", "z" + std::to_string(number + 1))
      .SetText("key_file", PathOf("link.key"))
      .SetText("data_folder", PathOf("data-" + std::to_string(number)))
      .SetText("log.file", "-")
      .SetText("operators.listen", operators(number).ToString())
      .SetText("peers.listen", peers.ToString())
      .SetText("peers.advertise", known.ToString())
      .SetText("metrics.listen", metrics.ToString())
      .Set("control.seeds", Seeds())
      .Set("control.first_start", is_first_start ? "true" : "false")
      .Set("control.tolerated_losses", "1")
      .Set("announcements.interval_ms", "300")
      .Set("drain.grace_s", "8");
  return text.Write(PathOf(ControlName(number) + ".toml"));
}

std::string Deployment::WriteGateway(std::uint32_t number) const {
  const net::Endpoint metrics{HostOf(kFirstHost),
                              Port(kGatewayMetricsPort + number)};
  SettingsText text;
  text.SetText("role", "gateway")
      .SetText("deployment", "soak")
      .SetText("node", GatewayName(number))
      .SetText("failure_domain", "z1")
      .SetText("key_file", PathOf("link.key"))
      .SetText("log.file", "-")
      .SetText("callers.listen", callers(number).ToString())
      .SetText("readiness.listen", readiness(number).ToString())
      .SetText("metrics.listen", metrics.ToString())
      .Set("control.seeds", Seeds())
      .Set("control.peers_port", std::to_string(Port(kPeersPort)))
      .Set("drain.grace_s", "8")
      .Set("retries.ratio", "0.2")
      .Set("retries.slack", "94")
      .Set("retries.window_s", "10");
  return text.Write(PathOf(GatewayName(number) + ".toml"));
}

std::string Deployment::Start() {
  std::ofstream(PathOf("link.key")) << "the link key of a soak, not secret\n";
  std::string error;
  for (std::uint32_t i = 0; i < options_.controls && error.empty(); ++i) {
    relays_.push_back(std::make_unique<blackhole::Relay>(
        loop_.io(),
        net::Endpoint{HostOf(kFirstKnownHost + i), Port(kPeersPort)},
        net::Endpoint{HostOf(kFirstHost + i), Port(kPeersPort)}));
    error = relays_.back()->Start();
    if (error.empty()) {
      error = WriteControl(i, true);
    }
    if (error.empty()) {
      error = StartControl(i);
    }
  }
  for (std::uint32_t i = 0; i < options_.gateways && error.empty(); ++i) {
    error = WriteGateway(i);
    if (error.empty()) {
      error = StartGateway(i);
    }
  }
  return error;
}

std::string Deployment::StartRole(const std::string& role,
                                  const std::string& name) {
  return processes_.Start(
      name, {options_.binary, role, "--settings=" + PathOf(name + ".toml")},
      PathOf(name + ".log"));
}

std::string Deployment::StartControl(std::uint32_t number) {
  return StartRole("control", ControlName(number));
}

std::string Deployment::StartGateway(std::uint32_t number) {
  return StartRole("gateway", GatewayName(number));
}

void Deployment::WipeControl(std::uint32_t number) {
  std::error_code ignored;  // A missing folder is as good as an empty one.
  std::filesystem::remove_all(PathOf("data-" + std::to_string(number)),
                              ignored);
  WriteControl(number, false);
}

}  // namespace bilberryspool::soak
