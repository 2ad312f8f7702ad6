#!/usr/bin/env bash
# Guards against requests to a target whose departure was acknowledged by a
# control node that ended before it told the gateways: the target serves for a
# while without announcing itself again.
. "$(dirname "$0")/deployment_on_platform.sh"

# Until the gateways have heard of all departures that the log holds.
SETTLE_MS=4000
start_platform
start_targets standin "${P}70" --count=1 --requests="$RUN/requests"
# Targets that announce themselves by `announce` only.
for name in withdrawn drained; do
  port="${P}8$([ "$name" = withdrawn ] && echo 0 || echo 5)"
  start "$name" "$BIN/platform_standin" --listen=127.0.0.9 --first_port="$port" \
    --count=1 --boot="-$name" --requests="$RUN/requests-$name"
  declare "PORT_$name=$port"
done
announce() { # NAME NODE STATE SEQUENCE
  local port="PORT_$1"
  curl -s -m 2 -o /dev/null -w '%{http_code}' -X PUT "127.0.0.$2:${P}10/instances/i-0-$1" \
    -d "{\"service\":\"model\",\"address\":\"127.0.0.9:${!port}\",\"zone\":\"z1\",\"slots\":4,\"state\":\"$3\",\"sequence\":$4}"
}
announce_until() { # NAME FILE
  local n=0
  until [ -e "$2" ]; do
    n=$((n + 1))
    announce "$1" 2 ready "$n" > /dev/null
    sleep 0.2
  done
}
withdraw() { curl -s -m 2 -o /dev/null -w '%{http_code}' -X DELETE "127.0.0.$2:${P}10/instances/i-0-$1"; }
is_used() { [ -s "$RUN/requests-$1" ]; }

JOBS=""
for name in withdrawn drained; do
  announce_until "$name" "$RUN/stop-$name" &
  JOBS="$JOBS $!"
done
wait_until_served
for i in $GATEWAYS; do
  send_until "$i" "$RUN/stop" &
  JOBS="$JOBS $!"
done
for name in withdrawn drained; do wait_until "the $name target is used" is_used "$name"; done
touch "$RUN/stop-withdrawn" "$RUN/stop-drained"
sleep 0.5

# The gateways hear nothing before all control nodes are gone, and the node that
# has acknowledged loses its folder. Each gateway waits for one answer of each
# node, which it reads when it wakes; other news go into these.
for i in $GATEWAYS; do freeze "gateway-$i"; done
for i in $CONTROLS; do withdraw "other-$i" "$i" > /dev/null; done
sleep 0.5
expect "the answer to the withdrawal" 200 "$(withdraw withdrawn 2)"
expect "the answer to the announcement" 200 "$(announce drained 2 draining 100000)"
for i in $CONTROLS; do kill_hard "control-$i"; done
for i in $GATEWAYS; do thaw "gateway-$i"; done
rm -rf "$RUN/data-2"
for i in $CONTROLS; do
  sed -i 's/first_start = true/first_start = false/' "$RUN/control-$i.toml"
  start_control "$i"
done
wait_until "there is a leader" find_leader
SETTLED="$(($(now_ms) + SETTLE_MS))"
has_on_record() { [ "$(curl -s -m 2 "127.0.0.$1:${P}30/metrics" | awk '/^bilberryspool_departures_on_record/ {print $2 + 0}')" = 5 ]; }
for i in $CONTROLS; do wait_until "node $i has all departures on record" has_on_record "$i"; done
# Late announcements do not bring a target back.
announce_until withdrawn "$RUN/stop" &
JOBS="$JOBS $!"
sleep 8
for name in withdrawn drained; do
  expect "requests to the $name target" 0 "$(runs_between "$RUN/requests-$name" "$SETTLED" "$(now_ms)")"
done
[ "$(runs_between "$RUN/requests" "$SETTLED" "$(now_ms)")" -gt 20 ] || fail "the other target got no requests"

# Without a majority nothing is acknowledged.
for i in 1 3; do kill_hard "control-$i"; done
expect "the answer without a majority" 503 "$(withdraw later 2)"
touch "$RUN/stop"
# shellcheck disable=SC2086
wait $JOBS
echo "passed"
