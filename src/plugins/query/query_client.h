// The operators' client: tries one entry after the other until one answers.
//
// If an answer is lost, the change must not take effect twice, nor be taken for
// lost itself. So each statement has a command id and is resent with the same
// one: it takes effect once, and each answer gives the first outcome.

#ifndef PLUGINS_QUERY_QUERY_CLIENT_H_
#define PLUGINS_QUERY_QUERY_CLIENT_H_

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "libs/base/ids.h"
#include "libs/base/time.h"
#include "libs/net/endpoint.h"
#include "libs/net/http_client.h"

namespace bilberryspool::query {

// Exit codes of the program.
enum class ExitCode {
  kDone = 0,
  // Not accepted, or `wait` timed out; nothing is retried.
  kRefused = 1,
  // The command line or the statement is wrong.
  kUsage = 2,
  // No entry answered, or it isn't known whether the change took effect.
  kUnreachable = 3,
};

struct QueryOptions {
  // Operators' addresses of entries, tried in this order.
  std::vector<net::Endpoint> entries;
  std::string credential;
  std::string operator_name;
  bool json = false;
  // Expected version for changes that name none.
  std::optional<ConfigVersion> read_version;
  // Maximum number of passes over the entries, and the delay between passes.
  std::size_t max_rounds = 3;
  Duration retry_delay = Milliseconds(300);
  // Timeout for one answer; the timeout of a `wait` statement is added to it.
  Duration answer_timeout = Seconds(10);
};

struct QueryResult {
  ExitCode code = ExitCode::kDone;
  // Text to print; each line ends with a newline.
  std::string text;
};

// Belongs to one NetworkLoop's thread; Execute() suspends the calling fiber.
class QueryClient {
 public:
  QueryClient(net::NetworkLoop& loop, QueryOptions options);

  // Sends `statement` with the command id `id`. A change that is sent again
  // with the same id takes effect once.
  QueryResult Execute(const std::string& statement, const CommandId& id);

 private:
  // Result of one attempt: a final answer, or why there is none.
  struct Attempt;

  Attempt SendOnce(const net::Endpoint& entry,
                   const net::HttpRequest& request,
                   Duration answer_timeout);
  net::HttpRequest MakeRequest(const std::string& statement,
                               const CommandId& id) const;
  void RecordAppliedIndex(const net::HttpResponse& response);
  // The answer if all attempts failed. `id` is set if the statement doesn't
  // name it.
  QueryResult MakeUnreachableResult(const std::string& last_error,
                                    bool is_outcome_unknown,
                                    const std::optional<CommandId>& id) const;

  net::NetworkLoop& loop_;
  QueryOptions options_;
  net::HttpClient client_;
  // Index of the entry that answered last, which is tried first.
  std::size_t preferred_entry_ = 0;
  std::optional<std::string> applied_index_;
};

}  // namespace bilberryspool::query

#endif  // PLUGINS_QUERY_QUERY_CLIENT_H_
