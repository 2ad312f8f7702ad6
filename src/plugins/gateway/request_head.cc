#include "plugins/gateway/request_head.h"

#include <algorithm>
#include <charconv>
#include <set>

#include "libs/traffic/host_name.h"
#include "libs/traffic/prompt_parts.h"

namespace bilberryspool::gateway {

namespace {

// The largest number that an engine accepts; 0 is the most urgent.
constexpr std::uint32_t kLowestPriority = 9;

// The header fields that a Connection field names, in lower case; they apply to
// one connection only.
std::set<std::string> NominatedFields(const net::HttpHeaders& headers) {
  std::set<std::string> names;
  for (const net::HttpHeader& field : headers) {
    if (!net::EqualNames(field.name, "Connection")) {
      continue;
    }
    std::string_view rest = field.value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      std::string_view name = rest.substr(0, comma);
      rest.remove_prefix(std::min(comma + 1, rest.size()));
      while (name.starts_with(' ')) {
        name.remove_prefix(1);
      }
      while (name.ends_with(' ')) {
        name.remove_suffix(1);
      }
      names.insert(net::ToLower(name));
    }
  }
  return names;
}

// The values of all header fields of that name as one list.
std::string JoinFields(const net::HttpHeaders& headers, std::string_view name) {
  std::string list;
  for (const net::HttpHeader& field : headers) {
    if (net::EqualNames(field.name, name)) {
      list += (list.empty() ? "" : ",") + field.value;
    }
  }
  return list;
}

std::optional<Duration> ReadMilliseconds(std::string_view text) {
  double number = 0.0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  constexpr double kMaxMs = 24.0 * 3600.0 * 1000.0;
  if (parsed.ec != std::errc() || parsed.ptr != end || !(number >= 0.0) ||
      number > kMaxMs) {
    return std::nullopt;
  }
  constexpr double kMicrosecondsPerMs = 1000.0;
  return Microseconds(static_cast<std::int64_t>(number * kMicrosecondsPerMs));
}

}  // namespace

RequestHead ReadHead(const net::HttpRequest& request,
                     const traffic::HeaderNames& header_names) {
  RequestHead head;
  head.request_id =
      std::string(request.headers.ValueOr(header_names.request_id, ""));
  head.host = traffic::NormalizeHost(request.headers.ValueOr("Host", ""));
  head.path = request.target.substr(0, request.target.find('?'));
  head.key = std::string(request.headers.ValueOr(header_names.key, ""));
  head.shared_parts = traffic::ReadSharedPromptParts(
      JoinFields(request.headers, header_names.prompt_parts));
  if (const auto text = request.headers.Find(header_names.deadline_ms)) {
    head.wait_timeout = ReadMilliseconds(*text);
  }
  return head;
}

net::HttpRequest MakeTargetRequest(const net::HttpRequest& request,
                                   const ForwardedHead& head,
                                   const traffic::HeaderNames& header_names) {
  net::HttpRequest forwarded;
  forwarded.method = request.method;
  forwarded.target = request.target;
  forwarded.headers = request.headers;
  forwarded.headers.RemoveAll(NominatedFields(request.headers));
  forwarded.headers.Remove("Expect");
  forwarded.headers.Remove(header_names.key);
  forwarded.headers.Remove(header_names.workspace);
  if (!head.workspace.empty()) {
    forwarded.headers.Add(header_names.workspace, head.workspace);
  }
  forwarded.headers.Set(header_names.expected_target, head.target);
  forwarded.headers.Set(header_names.deadline_ms,
                        std::to_string(head.time_left / Milliseconds(1)));
  forwarded.headers.Set(
      header_names.priority,
      std::to_string(std::min(head.priority, kLowestPriority)));
  if (!head.last_event_id.empty()) {
    forwarded.headers.Set("Last-Event-Id", head.last_event_id);
  }
  return forwarded;
}

net::HttpResponseHead MakeCallerHead(const net::HttpResponseHead& head) {
  net::HttpResponseHead passed = head;
  passed.headers.RemoveAll(NominatedFields(head.headers));
  return passed;
}

std::optional<ReportedLoad> ReadLoad(std::string_view text) {
  ReportedLoad load;
  const char* end = text.data() + text.size();
  const auto running = std::from_chars(text.data(), end, load.running);
  if (running.ec != std::errc() || running.ptr == end || *running.ptr != ',') {
    return std::nullopt;
  }
  const auto waiting = std::from_chars(running.ptr + 1, end, load.waiting);
  if (waiting.ec != std::errc()) {
    return std::nullopt;
  }
  return load;
}

}  // namespace bilberryspool::gateway
