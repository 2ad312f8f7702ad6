#!/usr/bin/env bash
# Guards against gateways that serve bodies and heads longer than the limits of
# the configuration, or keep limits that a later one has changed.
. "$(dirname "$0")/deployment_on_platform.sh"

put_limits() { # VERSION MAX_BODY MAX_HEAD
  curl -s -m 5 -o /dev/null -w '%{http_code}' -X PUT "127.0.0.1:${P}10/config" -d "{\"version\":$1,
    \"routes\":[{\"name\":\"plain\",\"host\":\"h.example\",\"path_prefix\":\"/v$1/\",\"kind\":\"safe\",\"timeout_ms\":4000,\"service\":\"model\"}],
    \"services\":[{\"name\":\"model\"}],\"limits\":{\"max_header_bytes\":$3,\"max_body_bytes\":$2,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},
    \"tenants\":[{\"name\":\"w1\",\"api_keys\":[\"k1\"]}]}"
}
limits_accepted() { [ "$(put_limits "$@")" = 200 ]; }
status_of_body() { # VERSION BYTES [FLAGS...]
  local version="$1"
  head -c "$2" /dev/zero | tr '\0' a > "$RUN/body"
  shift 2
  call 1 "/v$version/x" "body-$RANDOM" --data-binary @"$RUN/body" -H 'Expect:' -o /dev/null -w '%{http_code}' "$@"
}
try_limits() { # VERSION MAX_BODY MAX_HEAD
  wait_until "version $1 is accepted" limits_accepted "$@"
  wait_until "version $1 is in force" is_route 1 "v$1"
  expect "a body of $2 bytes" 200 "$(status_of_body "$1" "$2")"
  expect "the same in chunks" 200 "$(status_of_body "$1" "$2" -H 'Transfer-Encoding: chunked')"
  expect "a body of $(($2 + 1)) bytes" 413 "$(status_of_body "$1" $(($2 + 1)))"
  expect "the same in chunks" 413 "$(status_of_body "$1" $(($2 + 1)) -H 'Transfer-Encoding: chunked')"
  expect "a head over $3 bytes" 431 "$(status_of_body "$1" 1 -H "X-Filler: $(head -c "$3" /dev/zero | tr '\0' a)")"
}

start_platform
start_targets targets "${P}70"
wait_until_served
try_limits 10 100000 4096
try_limits 11 2000000 16384
try_limits 12 50000 2048
kill_hard gateway-1
start_gateway 1
wait_until "gateway 1 is ready" is_serving 1
try_limits 12 50000 2048
echo "passed"
