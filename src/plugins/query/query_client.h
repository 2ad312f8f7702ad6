// The operators' client: asks one entry after the other until one answers.
//
// Guards against a change that takes effect twice, or is believed lost, because
// its answer was: each statement has a command id, and whatever is sent again
// goes under the same one, so it takes effect once and gives the first outcome.

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
  // Not accepted, or `wait` ran out of time: nothing more happens by itself.
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
  // How often the whole list is gone through, and the pause in between.
  std::size_t max_rounds = 3;
  Duration retry_delay = Milliseconds(300);
  // Wait for one answer, beyond what a `wait` statement asks for.
  Duration answer_timeout = Seconds(10);
};

struct QueryResult {
  ExitCode code = ExitCode::kDone;
  // What to print, each line ended.
  std::string text;
};

// Belongs to one NetworkLoop's thread; Execute() suspends the calling fiber.
class QueryClient {
 public:
  QueryClient(net::NetworkLoop& loop, QueryOptions options);

  // Gives `statement` under `id`. Given again under the same id, a change
  // takes effect once.
  QueryResult Execute(const std::string& statement, const CommandId& id);

 private:
  // What one try came to: a final answer, or none.
  struct Attempt;

  Attempt SendOnce(const net::Endpoint& entry,
                   const net::HttpRequest& request,
                   Duration answer_timeout);
  net::HttpRequest MakeRequest(const std::string& statement,
                               const CommandId& id) const;
  void RecordAppliedIndex(const net::HttpResponse& response);
  // `id` where the statement doesn't name it.
  QueryResult MakeUnreachableResult(const std::string& last_error,
                                    bool is_outcome_unknown,
                                    const std::optional<CommandId>& id) const;

  net::NetworkLoop& loop_;
  QueryOptions options_;
  net::HttpClient client_;
  // The entry that answered last is asked first.
  std::size_t preferred_entry_ = 0;
  std::optional<std::string> applied_index_;
};

}  // namespace bilberryspool::query

#endif  // PLUGINS_QUERY_QUERY_CLIENT_H_
