#!/usr/bin/env bash
# Guards against gateways that serve nobody while silent clients hold all
# connections, or all
# descriptors, and come back when they are closed.
. "$(dirname "$0")/crowds.sh"

echo "limits.max_open_connections = 40" >> "$RUN/gateway-1.toml"
start_gateway() {
  local limit=1024
  [ "$1" = 1 ] || limit=120
  start "gateway-$1" bash -c 'ulimit -n "$1"; shift; exec "$@"' limited "$limit" \
    "$BIN/bilberryspool" gateway --settings="$RUN/gateway-$1.toml"
}
start_served_platform
for flag in --stay --back; do
  for i in 1 2; do
    start_crowd "${P}4$i" silent 200 0 "$flag"
    expect_within "gateway-$i" "$GATEWAY_KB" "beside the crowd $flag"
    wait_until "a request is served at gateway $i beside the crowd $flag" is_served "$i"
    end_crowd
    wait_until "a request is served at gateway $i after the crowd $flag" is_served "$i"
  done
done
echo "passed"
