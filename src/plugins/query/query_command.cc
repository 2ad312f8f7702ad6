#include "plugins/query/query_command.h"

#include <gflags/gflags.h>

#include <cstdlib>
#include <iostream>
#include <optional>
#include <sstream>

#include "libs/config/validation.h"
#include "libs/net/link_authenticator.h"
#include "libs/net/network_loop.h"
#include "plugins/operators/command_ids.h"
#include "plugins/query/prompt.h"
#include "plugins/query/query_client.h"

DEFINE_string(address,
              "",
              "query: operators' addresses of entries, ip:port[,ip:port...]");
DEFINE_string(credential_file,
              "",
              "query: file with the operators' credential");
DEFINE_string(operator, "", "query: who gives the statement; default: $USER");
DEFINE_bool(json, false, "query: answers as JSON");
DEFINE_string(command_id,
              "",
              "query: id of a change that is sent again after a lost answer");
DEFINE_uint64(read_version,
              0,
              "query: refuse a change if anything changed after this version; "
              "0: compare nothing");

namespace bilberryspool::query {

namespace {

constexpr char kUsage[] =
    "usage: bilberryspool query --address=IP:PORT[,IP:PORT...]\n"
    "         --credential_file=FILE [--operator=NAME] [--json]\n"
    "         [--command_id=ID] [--read_version=N] [STATEMENT]\n";

std::string OperatorName() {
  if (!FLAGS_operator.empty()) {
    return FLAGS_operator;
  }
  const char* user = std::getenv("USER");
  return user == nullptr ? "" : user;
}

std::optional<std::vector<net::Endpoint>> ReadEndpoints(
    const std::string& text) {
  std::vector<net::Endpoint> endpoints;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const auto endpoint = net::ParseEndpoint(part);
    if (!endpoint.has_value()) {
      return std::nullopt;
    }
    endpoints.push_back(*endpoint);
  }
  return endpoints.empty() ? std::nullopt : std::make_optional(endpoints);
}

// Sets `options` from the flags. Returns an empty string, or an error message.
std::string ReadOptions(QueryOptions& options) {
  const auto endpoints = ReadEndpoints(FLAGS_address);
  if (!endpoints.has_value()) {
    return "--address must be ip:port[,ip:port...], not \"" + FLAGS_address +
           "\"";
  }
  const auto credential = net::ReadKeyFile(FLAGS_credential_file);
  if (!credential.has_value()) {
    return "--credential_file: can't read a credential of at least " +
           std::to_string(net::LinkAuthenticator::kMinKeyBytes) +
           " bytes from \"" + FLAGS_credential_file + "\"";
  }
  options.entries = *endpoints;
  options.credential = *credential;
  options.operator_name = OperatorName();
  options.json = FLAGS_json;
  if (FLAGS_read_version > 0) {
    options.read_version = ConfigVersion(FLAGS_read_version);
  }
  if (!config::IsValidName(options.operator_name)) {
    return "--operator must be 1 to 128 letters, digits or \". _ - / :\"";
  }
  const bool is_id_wrong =
      !FLAGS_command_id.empty() && !config::IsValidName(FLAGS_command_id);
  return is_id_wrong
             ? "--command_id must be 1 to 128 letters, digits or \". _ - / :\""
             : "";
}

std::string Join(const std::vector<std::string>& words) {
  std::string text;
  for (const std::string& word : words) {
    text += (text.empty() ? "" : " ") + word;
  }
  return text;
}

ExitCode RunStatement(QueryClient& client, const std::string& statement) {
  const CommandId id = FLAGS_command_id.empty() ? operators::MakeCommandId()
                                                : CommandId(FLAGS_command_id);
  const QueryResult result = client.Execute(statement, id);
  std::ostream& out =
      result.code == ExitCode::kDone || FLAGS_json ? std::cout : std::cerr;
  out << result.text << std::flush;
  return result.code;
}

ExitCode RunPrompt(QueryClient& client) {
  Prompt prompt([&client](const std::string& statement) {
    return client.Execute(statement, operators::MakeCommandId());
  });
  return prompt.Run(std::cin, std::cout);
}

}  // namespace

int RunQuery(const std::vector<std::string>& words) {
  QueryOptions options;
  const std::string error = ReadOptions(options);
  if (!error.empty()) {
    std::cerr << "query: " << error << "\n" << kUsage;
    return static_cast<int>(ExitCode::kUsage);
  }
  const std::string statement = Join(words);
  if (statement.empty() && !FLAGS_command_id.empty()) {
    std::cerr << "query: --command_id needs a statement\n" << kUsage;
    return static_cast<int>(ExitCode::kUsage);
  }
  ExitCode code = ExitCode::kDone;
  net::NetworkLoop loop;
  loop.Run([&] {
    QueryClient client(loop, options);
    code =
        statement.empty() ? RunPrompt(client) : RunStatement(client, statement);
  });
  return static_cast<int>(code);
}

}  // namespace bilberryspool::query
