#!/usr/bin/env bash
# Guards against a gateway that runs out of memory where many targets at a time
# send a head, a body or an event without an end.
. "$(dirname "$0")/crowds.sh"

start_platform
start_raw_targets 8
wait_until_served
ask() { # COUNT PATH BEGINNING UNIT
  python3 "$(dirname "$0")/endless_callers.py" "${P}41" "$@" || fail "an endless answer looked whole: $*"
  expect_within gateway-1 "$GATEWAY_KB" "after $*"
  wait_until "a request is served after $*" is_served 1
}
HEAD='HTTP/1.1 200 OK\r\n(seal)'
for path in endless dripping; do
  ask 400 "/a/$path" "HTTP/" a
  ask 400 "/a/$path" "$HEAD" a
  ask 400 "/again/$path" "$HEAD" 'Nam: v\r\n'
  ask 400 "/a/$path" "$HEAD\\r\\n" a
  ask 600 "/a/$path" "${HEAD}Transfer-Encoding: chunked\\r\\n\\r\\n0\\r\\nName: " a
  ask 600 "/a/$path" "${HEAD}Transfer-Encoding: chunked\\r\\n\\r\\n1;" a
  ask 600 "/stream/$path" "${HEAD}Content-Type: text/event-stream\\r\\n\\r\\n" a
done
echo "passed"
