#include "plugins/query/query_client.h"

#include <utility>
#include <variant>

#include "libs/language/parser.h"
#include "libs/language/rendering.h"
#include "libs/net/http_status.h"
#include "libs/net/network_loop.h"
#include "plugins/operators/operator_headers.h"

namespace bilberryspool::query {

using language::Statement;

namespace {

ExitCode ExitCodeOf(int http_status) {
  if (http_status == net::status::kOk) {
    return ExitCode::kDone;
  }
  return http_status == net::status::kBadRequest ? ExitCode::kUsage
                                                 : ExitCode::kRefused;
}

// Whether an entry can't answer now, while another one may.
bool IsTransient(int http_status) {
  return http_status == net::status::kTooManyRequests ||
         http_status == net::status::kUnavailable ||
         http_status == net::status::kGatewayTimeout;
}

// Properties of a statement that determine how the client sends it.
struct StatementTraits {
  // True also for a text that can't be parsed, as a newer entry may understand
  // it.
  bool may_change = true;
  bool has_explicit_id = false;
  // How long the entry may wait before it answers, as the statement says.
  Duration wait{};
};

StatementTraits InspectStatement(const std::string& statement) {
  const auto parsed = language::ParseStatement(statement);
  const auto* known = std::get_if<Statement>(&parsed);
  if (known == nullptr) {
    return {};
  }
  StatementTraits traits;
  const auto* change = std::get_if<language::ChangeStatement>(known);
  traits.may_change = change != nullptr;
  traits.has_explicit_id = change != nullptr && change->id.has_value();
  if (const auto* wait = std::get_if<language::WaitStatement>(known)) {
    traits.wait = wait->timeout;
  }
  return traits;
}

// The first sentence of an answer, which is text or JSON.
std::string FirstSentence(const std::string& body) {
  const auto answer = language::AnswerFromJson(body);
  if (answer.has_value() && !answer->notes.empty()) {
    return answer->notes.front();
  }
  return body.substr(0, body.find('\n'));
}

}  // namespace

struct QueryClient::Attempt {
  std::optional<QueryResult> result;
  std::string error;
  // True where the statement may have reached the control replicas.
  bool is_outcome_unknown = false;
};

QueryClient::QueryClient(net::NetworkLoop& loop, QueryOptions options)
    : loop_(loop), options_(std::move(options)), client_(loop, {}) {}

net::HttpRequest QueryClient::MakeRequest(const std::string& statement,
                                          const CommandId& id) const {
  net::HttpRequest request;
  request.method = "POST";
  request.target = "/statement";
  request.body = statement;
  net::HttpHeaders& headers = request.headers;
  headers.Add("Authorization", "Bearer " + options_.credential);
  headers.Add(std::string(operators::kOperatorHeader), options_.operator_name);
  headers.Add(std::string(operators::kCommandIdHeader), id.value());
  if (options_.read_version.has_value()) {
    headers.Add(std::string(operators::kReadVersionHeader),
                std::to_string(options_.read_version->value()));
  }
  // A statement that names its id may be a resend of an old one. The header
  // would need the index at the first send, which is not known.
  if (applied_index_.has_value() &&
      !InspectStatement(statement).has_explicit_id) {
    headers.Add(std::string(operators::kIssuedAfterHeader), *applied_index_);
  }
  if (options_.json) {
    headers.Add("Accept", std::string(operators::kJsonType));
  }
  return request;
}

QueryResult QueryClient::Execute(const std::string& statement,
                                 const CommandId& id) {
  const net::HttpRequest request = MakeRequest(statement, id);
  const StatementTraits traits = InspectStatement(statement);
  const Duration answer_timeout = options_.answer_timeout + traits.wait;
  const std::size_t count = options_.entries.size();
  bool is_outcome_unknown = false;
  std::string error = "no address was given";
  for (std::size_t i = 0; i < options_.max_rounds * count; ++i) {
    if (i > 0 && i % count == 0) {
      loop_.SleepFor(options_.retry_delay);
    }
    const std::size_t entry_index = (preferred_entry_ + i) % count;
    Attempt attempt =
        SendOnce(options_.entries[entry_index], request, answer_timeout);
    if (attempt.result.has_value()) {
      preferred_entry_ = entry_index;
      return std::move(*attempt.result);
    }
    is_outcome_unknown = is_outcome_unknown || attempt.is_outcome_unknown;
    error = options_.entries[entry_index].ToString() + ": " + attempt.error;
  }
  return MakeUnreachableResult(
      error, is_outcome_unknown && traits.may_change,
      traits.has_explicit_id ? std::nullopt : std::make_optional(id));
}

QueryClient::Attempt QueryClient::SendOnce(const net::Endpoint& entry,
                                           const net::HttpRequest& request,
                                           Duration answer_timeout) {
  const auto sent = client_.Send(entry, request, answer_timeout);
  if (const auto* error = std::get_if<net::HttpError>(&sent)) {
    return {std::nullopt, error->text,
            error->kind != net::HttpErrorKind::kConnect};
  }
  const auto& response = std::get<net::HttpResponse>(sent);
  const int status = response.head.status;
  if (IsTransient(status)) {
    return {std::nullopt, FirstSentence(response.body),
            status == net::status::kGatewayTimeout};
  }
  RecordAppliedIndex(response);
  std::string text = response.body;
  if (!text.empty() && text.back() != '\n') {
    text += "\n";
  }
  return {QueryResult{ExitCodeOf(status), std::move(text)}, "", false};
}

void QueryClient::RecordAppliedIndex(const net::HttpResponse& response) {
  const auto index = response.head.headers.Find(operators::kAppliedIndexHeader);
  if (index.has_value()) {
    applied_index_ = std::string(*index);
  }
}

QueryResult QueryClient::MakeUnreachableResult(
    const std::string& last_error,
    bool is_outcome_unknown,
    const std::optional<CommandId>& id) const {
  language::Answer answer;
  if (is_outcome_unknown) {
    answer.status = language::AnswerStatus::kUnknown;
    const std::string how =
        id.has_value() ? ", with --command_id=" + id->value() +
                             " or with as \"" + id->value() + "\" at its end"
                       : "";
    answer.notes = {
        "unknown: the answer was lost, the change may or may not "
        "take effect",
        "send it again, unchanged" + how + ": it takes effect once"};
  } else {
    answer.status = language::AnswerStatus::kRefused;
    answer.notes = {"not done: no entry could answer"};
  }
  answer.notes.push_back("the last to be asked was " + last_error);
  return {ExitCode::kUnreachable, options_.json
                                      ? language::RenderJson(answer) + "\n"
                                      : language::RenderText(answer)};
}

}  // namespace bilberryspool::query
