#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>

#include "libs/base/random.h"
#include "libs/settings/load.h"

namespace bilberryspool::settings {
namespace {

const std::string kShare = BILBERRYSPOOL_SOURCE_FOLDER "/share/";

std::string ReadSample(const std::string& name) {
  std::ifstream file(kShare + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

// Returns the sample with the first line that starts with `prefix` replaced; an
// empty prefix inserts the line at the top.
std::string Change(const std::string& sample,
                   const std::string& prefix,
                   const std::string& line) {
  std::string text = "\n" + ReadSample(sample);
  if (prefix.empty()) {
    return line + text;
  }
  const std::size_t start = text.find("\n" + prefix);
  REQUIRE(start != std::string::npos);
  const std::size_t end = text.find('\n', start + 1);
  return text.replace(start + 1, end - start - 1, line);
}

std::vector<SettingsError> ErrorsOf(const std::string& text) {
  const LoadResult result = Parse(text, "sample.toml");
  const auto* errors = std::get_if<std::vector<SettingsError>>(&result);
  return errors != nullptr ? *errors : std::vector<SettingsError>{};
}

TEST_CASE("each sample is accepted") {
  for (const char* name :
       {"entry.toml", "control.toml", "agent.toml", "gateway.toml",
        "control-node.toml", "sidecar.toml"}) {
    CAPTURE(name);
    const LoadResult result = Load(kShare + name);
    const auto* errors = std::get_if<std::vector<SettingsError>>(&result);
    CHECK_MESSAGE(errors == nullptr, (errors ? ToString(*errors) : ""));
  }
}

TEST_CASE("values and defaults are stored in their settings") {
  const auto control = std::get<Settings>(Load(kShare + "control.toml"));
  CHECK(control.common.node == NodeId("control-1"));
  CHECK(control.common.trace.sample_permille == 10);
  const auto& entry = std::get<EntrySettings>(control.role);
  CHECK(entry.is_control_replica());
  CHECK(entry.initial_members.size() == 3);
  CHECK(entry.peers_advertise == SocketAddress{"10.0.0.11", 7300});
  CHECK(entry.limits.default_deadline == Seconds(120));
  CHECK(entry.limits.max_body_bytes == 8U * 1024 * 1024);
  const auto loaded = std::get<Settings>(Load(kShare + "agent.toml"));
  const auto& agent = std::get<AgentSettings>(loaded.role);
  CHECK(agent.services == std::vector<ServiceId>{ServiceId("drafter")});
  CHECK(agent.engine.checks_fencing);
  CHECK(agent.group_place ==
        GroupPlace{GroupId("drafter-ranks"), RankIndex(0)});
}

// Guards against processes that don't start where a platform doesn't know a
// field of their template.
TEST_CASE("a number that a template leaves open has its default") {
  for (const char* text : {"", "{{limits.memory_mb}}"}) {
    CAPTURE(text);
    const std::string line =
        "port = 7300\n[limits]\nmemory_mb = \"" + std::string(text) + "\"";
    const auto parsed =
        Parse(Change("gateway.toml", "port = ", line), "sample.toml");
    const auto* settings = std::get_if<Settings>(&parsed);
    REQUIRE(settings != nullptr);
    const auto& gateway = std::get<GatewaySettings>(settings->role);
    CHECK(gateway.memory_mb == 112.0);
  }
}

TEST_CASE("a gateway without a port of sidecars is accepted") {
  struct Row {
    const char* line;  // replaces the port
    std::optional<std::uint32_t> expected;
  };
  const Row rows[] = {{"port = 7300", 7300}, {"port = 1", 1}, {"", {}}};
  for (const Row& row : rows) {
    CAPTURE(row.line);
    const LoadResult result =
        Parse(Change("gateway.toml", "port = ", row.line), "sample.toml");
    REQUIRE(std::holds_alternative<Settings>(result));
    const auto& gateway =
        std::get<GatewaySettings>(std::get<Settings>(result).role);
    CHECK(gateway.sidecars_port == row.expected);
  }
}

TEST_CASE("each error names its key, the value found and its line") {
  struct Row {
    const char* sample;
    const char* prefix;  // the line replaced
    const char* line;
    const char* key;
    const char* found;
    bool has_line = true;
  };
  const Row rows[] = {
      {"entry.toml", "", "colour = 1", "colour", "an unknown key"},
      {"entry.toml", "", "\"log.level\" = \"info\"", "\"log.level\"",
       "an unknown key"},
      {"entry.toml", "", "target = \"t\"", "target", "a key of another role"},
      {"entry.toml", "role", "role = \"king\"", "role", "\"king\""},
      {"entry.toml", "role", "", "role", "nothing", false},
      {"entry.toml", "node", "", "node", "nothing", false},
      {"entry.toml", "node", "node = 7", "node", "7"},
      {"entry.toml", "node", "node = \"a b\"", "node", "\"a b\""},
      {"entry.toml", "node", "node = 1.5", "node", "1.5"},
      {"entry.toml", "node", "node = [1]", "node", "a list of 1"},
      {"entry.toml", "", "limits.idle_timeout_ms = 0", "limits.idle_timeout_ms",
       "0"},
      {"entry.toml", "", "network.threads = 65", "network.threads", "65"},
      {"entry.toml", "", "log.level = \"loud\"", "log.level", "\"loud\""},
      {"entry.toml", "advertise", "advertise = \"0.0.0.0:7300\"",
       "peers.advertise", "\"0.0.0.0:7300\""},
      {"entry.toml", "advertise", "advertise = \"host:7300\"",
       "peers.advertise", "\"host:7300\""},
      {"entry.toml", "advertise", "advertise = \"10.0.0.1:65536\"",
       "peers.advertise", "\"10.0.0.1:65536\""},
      {"entry.toml", "seeds", "seeds = [\"10.0.0.1:1\", \"10.0.0.1:1\"]",
       "seeds", "a list of 2"},
      // Contradictions between keys.
      {"entry.toml", "listen = \"0.0.0.0:7300\"", "listen = \"10.0.0.21:8080\"",
       "peers.listen", "\"10.0.0.21:8080\", which overlaps callers.listen"},
      {"entry.toml", "credential_file",
       "credential_file = \"/etc/bilberryspool/link.key\"",
       "operators.credential_file", "the same file as key_file"},
      {"entry.toml", "", "limits.default_deadline_ms = 600001",
       "limits.max_deadline_ms", "600000, below limits.default_deadline_ms",
       false},
      {"entry.toml", "", "drain.grace_ms = 1000", "drain.grace_ms",
       "1000, below limits.max_deadline_ms"},
      {"control.toml", "data_folder", "", "control.initial_members",
       "members, but no data_folder"},
      {"control.toml", "node", "node = \"control-9\"",
       "control.initial_members",
       "a list without this node at its peers.advertise"},
      {"control.toml", "  { node = \"control-2\"",
       "  { node = \"control-3\", address = \"10.0.0.12:7300\" },",
       "control.initial_members", "\"control-3\" twice"},
      {"control.toml", "file = \"/var/log/bilberryspool/spans.jsonl\"",
       "file = \"/var/log/bilberryspool/control.log\"", "trace.file",
       "the same file as log.file"},
      {"agent.toml", "rank", "", "group.name", "no group.rank beside it"},
      {"agent.toml", "address", "address = \"127.0.0.1:7400\"",
       "engine.address", "\"127.0.0.1:7400\", which overlaps listen"},
      {"agent.toml", "advertise", "advertise = \"127.0.0.1:9000\"", "advertise",
       "the address of the engine itself"},
      {"agent.toml", "kind", "kind = \"plain\"", "engine.checks_fencing",
       "true beside engine.kind plain"},
      {"agent.toml", "services", "services = []", "services", "a list of 0"},
      {"gateway.toml", "port = ", "port = 0", "sidecars.port", "0"},
      {"gateway.toml", "grace_s", "grace_s = \"\"", "drain.grace_s", "\"\""},
      {"gateway.toml", "grace_s", "grace_s = \"8 s\"", "drain.grace_s",
       "\"8 s\""},
      {"gateway.toml", "port = ", "port = 65536", "sidecars.port", "65536"},
  };
  for (const Row& row : rows) {
    const std::string text = Change(row.sample, row.prefix, row.line);
    const std::vector<SettingsError> errors = ErrorsOf(text);
    CAPTURE(row.sample);
    CAPTURE(row.line);
    CAPTURE(ToString(errors));
    const auto match = std::find_if(
        errors.begin(), errors.end(), [&](const SettingsError& error) {
          return error.key == row.key && error.found == row.found;
        });
    REQUIRE(match != errors.end());
    CHECK((match->line > 0) == row.has_line);
    CHECK_FALSE(match->accepted.empty());
  }
}

TEST_CASE("an error is one line that names file, key and accepted values") {
  const auto errors = ErrorsOf("role = \"entry\"\nnode = \"\\n\\u0007x\"\n");
  CHECK(ToString(errors).find("sample.toml:2: node: found \"  x\"; accepted: "
                              "a name of 1 to 64") != std::string::npos);
  const auto syntax = ErrorsOf("role = \"entry\"\nnode =\n");
  REQUIRE(syntax.size() == 1);
  CHECK(syntax.front().line == 2);
  const LoadResult missing = Load(kShare + "no-such-file.toml");
  CHECK(std::holds_alternative<std::vector<SettingsError>>(missing));
  const LoadResult folder = Load(kShare);
  CHECK(std::holds_alternative<std::vector<SettingsError>>(folder));
}

// Guards against a `check` command that is terminated by a signal, for example
// on a file that a full disk has cut short. Random bytes of a valid file are
// replaced, removed or repeated; the fault would be a parser or check that
// trusts unchecked input.
TEST_CASE("mutated text gives settings or errors, never a crash") {
  const char* seeds_text = std::getenv("BILBERRYSPOOL_SEEDS");
  const int seeds = seeds_text != nullptr ? std::atoi(seeds_text) : 300;
  const std::string samples[] = {ReadSample("control.toml"),
                                 ReadSample("agent.toml")};
  int refused = 0;
  for (int seed = 0; seed < seeds; ++seed) {
    Random random(static_cast<std::uint64_t>(seed));
    std::string text = samples[seed % 2];
    const std::uint64_t changes = 1 + random.Below(4);
    for (std::uint64_t i = 0; i < changes; ++i) {
      const std::size_t at = random.Below(text.size());
      switch (random.Below(4)) {
        case 0:
          text[at] = static_cast<char>(random.Below(256));
          break;
        case 1:
          text.erase(at, random.Below(40));
          break;
        case 2:
          text.insert(at, text.substr(random.Below(text.size()), 40));
          break;
        default:
          text.insert(at, std::string(random.Below(600), "[{\".\n="[i % 6]));
      }
    }
    CAPTURE(seed);
    const LoadResult result = Parse(text, "mutated.toml");
    const auto* errors = std::get_if<std::vector<SettingsError>>(&result);
    if (errors == nullptr) {
      continue;
    }
    ++refused;
    REQUIRE_FALSE(errors->empty());
  }
  CHECK(refused > seeds / 4);
}

}  // namespace
}  // namespace bilberryspool::settings
