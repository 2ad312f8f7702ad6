#!/usr/bin/env bash
# Guards against more requests to a cold target in a second, from all gateways
# together, than it tolerates: while gateways restart, and while the control
# nodes are killed.
. "$(dirname "$0")/deployment_on_platform.sh"

ALLOWED=6 # 4 a second times 1.0, and 2
for i in $GATEWAYS; do
  printf '\n[cold_targets]\noverage = 1.0\nslack = 2\n' >> "$RUN/gateway-$i.toml"
done
start_platform
start_targets standin "${P}70" --count=2 --cold --requests="$RUN/requests"

put_cold_config() {
  [ "$(curl -s -m 5 -o /dev/null -w '%{http_code}' -X PUT "127.0.0.1:${P}10/config" -d "{\"version\":3,
    \"routes\":[{\"name\":\"plain\",\"host\":\"h.example\",\"path_prefix\":\"/a/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,\"service\":\"model\"}],
    \"services\":[{\"name\":\"model\",\"cold_start_s\":3.0,\"cold_per_s\":4.0}],
    \"tenants\":[{\"name\":\"w1\",\"api_keys\":[\"k1\"]}]}")" = 200 ]
}
wait_until "the configuration is accepted" put_cold_config
for i in $GATEWAYS; do wait_until "gateway $i is ready" is_serving "$i"; done
for i in $GATEWAYS; do wait_until "gateway $i serves" is_route "$i" a; done

send_until() { # GATEWAY WORKER
  local n=0
  until [ -e "$RUN/stop" ]; do
    n=$((n + 1))
    call "$1" /a/x "cold-$1-$2-$n" -d order -o /dev/null -w '%{http_code}\n' >> "$RUN/answers-$1"
  done
}
LOADS=""
for i in $GATEWAYS; do
  for worker in 1 2; do
    send_until "$i" "$worker" &
    LOADS="$LOADS $!"
  done
done
sleep 4
for round in 1 2; do
  kill_hard gateway-2
  start_gateway 2
  wait_until "gateway 2 is ready again" is_serving 2
  sleep 2
done
for i in $CONTROLS; do kill_hard "control-$i"; done
for i in $CONTROLS; do
  sed -i 's/first_start = true/first_start = false/' "$RUN/control-$i.toml"
  start_control "$i"
done
sleep 6
touch "$RUN/stop"
# shellcheck disable=SC2086
wait $LOADS

python3 - "$RUN/requests" "$ALLOWED" << 'P' || fail "a cold target got more than $ALLOWED requests in a second, or hardly any"
import collections, sys
allowed = int(sys.argv[2])
by_target = collections.defaultdict(list)
for line in open(sys.argv[1]):
    at, target = line.split()[:2]
    by_target[target].append(int(at))
for target, times in by_target.items():
    times.sort()
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] >= 1000:
            first += 1
        most = max(most, last - first + 1)
    seconds = (times[-1] - times[0]) / 1000
    print(target, "most in a second", most, "mean", round(len(times) / seconds, 2))
    # A place is used once in 1.5 s, and gateway 2 and all control nodes are away for a while.
    if most > allowed or len(times) / seconds < allowed / 1.5 / 2:
        sys.exit(1)
P
grep -q 'why="all other targets may be cold and have had their share"' "$RUN/gateway-1.out" || fail "the log does not say why"
curl -s -m 2 "127.0.0.1:${P}61/metrics" | grep -q '^bilberryspool_cold_targets 2' || fail "the metrics do not show the cold targets"
echo "passed"
