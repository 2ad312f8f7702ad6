#!/usr/bin/env bash
# Guards against an acknowledged evacuation that is lost when all control nodes
# are killed right after it and one of them loses its folder, and against a
# gateway that has just started sending to an evacuated failure domain.
. "$(dirname "$0")/deployment_on_platform.sh"

APPLY_MS=5000
start_platform
start_targets standin "${P}70" --count=1 --requests="$RUN/requests"
start_targets away "${P}80" --count=1 --boot=-away --zone=away --requests="$RUN/requests-away"
wait_until_served

evacuate() { # METHOD NODE [DOMAIN]
  curl -s -m 2 -o /dev/null -w '%{http_code}' -X "$1" "127.0.0.$2:${P}10/evacuate/${3:-away}"
}
is_evacuated() { [ "$(evacuate POST "$@")" = 200 ]; }
is_withdrawn() { [ "$(evacuate DELETE "$@")" = 200 ]; }
lists() { curl -s -m 2 "127.0.0.$1:${P}30/evacuations" | grep -q "\"domains\":\[$2\]"; }

LOADS=""
SENT_FROM="$(now_ms)"
for i in $GATEWAYS; do
  send_until "$i" "$RUN/stop" &
  LOADS="$LOADS $!"
done
used_away() { [ "$(runs_between "$RUN/requests-away" "$SENT_FROM" "$(now_ms)")" -gt 5 ]; }
wait_until "the target in the other domain is used" used_away

wait_until "the evacuation is acknowledged" is_evacuated 2
ACKED="$(now_ms)"
for i in $CONTROLS; do kill_hard "control-$i"; done
rm -rf "$RUN/data-1"
for i in $CONTROLS; do
  sed -i 's/first_start = true/first_start = false/' "$RUN/control-$i.toml"
  start_control "$i"
done
for i in $CONTROLS; do wait_until "node $i shows the evacuation" lists "$i" '"away"'; done
wait_until "the evacuation is acknowledged again" is_evacuated 3
sleep 3

# A gateway that starts now sends nothing there, and the metrics say why.
kill_hard gateway-1
start_gateway 1
wait_until "gateway 1 is ready again" is_serving 1
knows() { curl -s -m 2 "127.0.0.1:${P}6$1/metrics" | grep -q '^bilberryspool_evacuated_failure_domains 1'; }
for i in $GATEWAYS; do wait_until "gateway $i knows" knows "$i"; done
sleep 2
WITHDRAWN="$(now_ms)"
[ "$(runs_between "$RUN/requests-away" "$SENT_FROM" "$ACKED")" -gt 5 ] || fail "no request to the domain before its evacuation is found"
expect "requests to the evacuated domain" 0 \
  "$(runs_between "$RUN/requests-away" $((ACKED + APPLY_MS)) "$WITHDRAWN")"

# Nothing is left to send to: refused at once.
wait_until "the other domain is evacuated too" is_evacuated 1 z1
for i in $GATEWAYS; do LIMIT_S=10 wait_until "gateway $i refuses" is_route "$i" a 503; done
grep -q 'why="\?all targets are in evacuated failure domains' "$RUN/gateway-2.out" || fail "the log does not say why"
wait_until "that is withdrawn" is_withdrawn 2 z1
for i in $GATEWAYS; do wait_until "gateway $i serves" is_route "$i" a; done

wait_until "the evacuation is withdrawn" is_withdrawn 3
for i in $CONTROLS; do wait_until "node $i shows that" lists "$i" ''; done
BEFORE="$(wc -l < "$RUN/requests-away")"
is_used_again() { [ "$(wc -l < "$RUN/requests-away")" -gt $((BEFORE + 5)) ]; }
wait_until "the domain is used again" is_used_again
touch "$RUN/stop"
# shellcheck disable=SC2086
wait $LOADS
echo "passed"
