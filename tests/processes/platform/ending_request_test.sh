#!/usr/bin/env bash
# Guards against a request that terminates each target running it being retried
# on more targets: callers repeat it at two gateways, also after a restart of a
# gateway, and other requests must be served meanwhile.
. "$(dirname "$0")/deployment_on_platform.sh"

TARGETS="0 1 2 3 4 5"
supervise() { # N: restarts a target one second after it exited
  local n="$1" boot=0
  trap 'kill -KILL $(jobs -p) 2> /dev/null; exit 0' TERM
  while :; do
    boot=$((boot + 1))
    "$BIN/platform_standin" --listen=127.0.0.9 --first_port="$((${P}70 + n))" --count=1 \
      --boot="-$n-$boot" --ends_on=ends-its-target --record="$RUN/ends" \
      --control="127.0.0.1:${P}10,127.0.0.2:${P}10,127.0.0.3:${P}10" &
    wait "$!"
    sleep 1
  done
}
# Supervisors get SIGTERM first: one that is killed leaves its target running.
end_supervised() {
  local n
  for n in $TARGETS; do kill -TERM "${PIDS[target-$n]}" 2> /dev/null; done
  for n in $TARGETS; do wait "${PIDS[target-$n]}" 2> /dev/null; done
  end_all
}
trap end_supervised EXIT

for i in $CONTROLS; do start_control "$i"; done
for i in $GATEWAYS; do start_gateway "$i"; done
: > "$RUN/ends"
for n in $TARGETS; do start "target-$n" supervise "$n"; done
wait_until "the configuration is accepted" is_accepted 2 3 a
for i in $GATEWAYS; do wait_until "gateway $i is ready" is_serving "$i"; done
for i in $GATEWAYS; do wait_until "gateway $i serves" is_route "$i" a; done

ends() { wc -l < "$RUN/ends"; }
COUNT=0
repeat_request() { # GATEWAY
  COUNT=$((COUNT + 1))
  call "$1" /again/x "again-$COUNT" -d "order ends-its-target" -o /dev/null -w '%{http_code}\n' >> "$RUN/answers"
}
has_ended_three() { repeat_request 1; repeat_request 2; [ "$(ends)" -ge 3 ]; }
wait_until "three targets have ended" has_ended_three
AT_THREE="$(ends)"
for round in 1 2 3 4 5 6 7 8; do
  repeat_request 1
  repeat_request 2
  if [ "$round" = 4 ]; then
    kill_hard gateway-2
    start_gateway 2
    wait_until "gateway 2 is ready again" is_serving 2
  fi
  sleep 0.5
done
LATER=$(($(ends) - AT_THREE))
[ "$LATER" -le 3 ] || fail "a request that had terminated $AT_THREE targets terminated $LATER more"
expect "the answer to one that is held back" 400 "$(tail -n 1 "$RUN/answers")"

# Another body on the same path, and the same body from another workspace, count
# as other requests.
expect "another body" 200 "$(call 1 /again/x other-1 -d "order" -o /dev/null -w '%{http_code}')"

# A quarantine survives the restart of all processes of the system.
is_saved() { grep -q 'The log holds refused requests. records=1' "$RUN"/control-*.out; }
wait_until "the quarantine is saved" is_saved
for i in $GATEWAYS; do kill_hard "gateway-$i"; done
for i in $CONTROLS; do kill_hard "control-$i"; done
sed -i 's/first_start = true/first_start = false/' "$RUN"/control-*.toml
for i in $CONTROLS; do start_control "$i"; done
for i in $GATEWAYS; do start_gateway "$i"; done
for i in $GATEWAYS; do wait_until "gateway $i is ready after the restart of all" is_serving "$i"; done
for i in $GATEWAYS; do wait_until "gateway $i serves after it" is_route "$i" a; done
is_listed() { curl -s "127.0.0.2:${P}30/quarantine" | grep -q '"refused"'; }
wait_until "the quarantine is read again" is_listed
sleep 0.5
BEFORE="$(ends)"
for round in 1 2 3; do repeat_request 1; repeat_request 2; done
expect "targets that ended after the restart of all" "$BEFORE" "$(ends)"

# An operator finds the request and releases it: counting starts again.
CONTENT="$(curl -s "127.0.0.2:${P}30/quarantine" | python3 -c 'import json, sys
refused = [r for r in json.load(sys.stdin) if r["verdict"] == "refused"]
print(refused[0]["request"] if len(refused) == 1 else refused)')"
grep -q "outcome=quarantined.*content=$CONTENT" "$RUN"/gateway-1.out || fail "no log line names $CONTENT"
expect "the release" 200 "$(status -X DELETE "127.0.0.2:${P}30/quarantine/$CONTENT")"
BEFORE="$(ends)"
is_sent_again() { repeat_request 1; [ "$(ends)" -gt "$BEFORE" ]; }
wait_until "the released request is sent again" is_sent_again
is_refused_again() { repeat_request 1; repeat_request 2; [ "$(tail -n 1 "$RUN/answers")" = 400 ]; }
wait_until "it is refused again" is_refused_again
echo "passed"
