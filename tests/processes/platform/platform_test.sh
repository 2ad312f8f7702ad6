#!/usr/bin/env bash
# Tests the whole request path on the users' platform with real processes:
# operators submit numbered configurations, targets announce themselves,
# gateways serve callers. Then a target leaves, the leading control node is
# killed, a control node loses its folder, and a gateway is stopped during a
# stream.
. "$(dirname "$0")/deployment_on_platform.sh"

for i in $CONTROLS; do start_control "$i"; done
for i in $GATEWAYS; do start_gateway "$i"; done
start standin "$BIN/platform_standin" --listen=127.0.0.9 --first_port="${P}70" --count=2 \
  --control="127.0.0.1:${P}10,127.0.0.2:${P}10,127.0.0.3:${P}10"

is_not_serving() { [ "$(status "127.0.0.1:${P}5$1/ready")" = 503 ]; }
wait_until "gateway 1 says that it has no configuration" is_not_serving 1
expect "a call without a configuration" 503 "$(call 1 /a/x early -o /dev/null -w '%{http_code}')"
wait_until "the configuration is accepted" is_accepted 2 3 a
for i in $GATEWAYS; do wait_until "gateway $i is ready" is_serving "$i"; done

expect "an invalid configuration" 400 "$(put_config 1 0 a)"
expect "the number in force again" 200 "$(put_config 3 3 other)"
wait_until "it changed nothing" holds_version 1 3
wait_until "a call is served" is_route 1 a
expect "the workspace and the body" "w1 order" "$(call 2 /a/x order-1 -d order | cut -d' ' -f2-)"
expect "runs of the order" 1 "$(total_runs order-1)"
expect "a route that does not exist" 404 "$(call 1 /none/x n -o /dev/null -w '%{http_code}')"
expect "a key that nobody holds" 401 "$(KEY=other call 1 /a/x n -o /dev/null -w '%{http_code}')"

# Guards against targets getting no work although all control nodes are healthy:
# with more control nodes than voters, a target may announce itself to one without
# a vote. Gateways that only ask members of the log do not learn of it.
sed -i 's/first_start = true/first_start = false/' "$RUN/control-4.toml"
start_control 4
start standin-extra "$BIN/platform_standin" --listen=127.0.0.9 --first_port="${P}80" --count=1 \
  --service=extra --control="127.0.0.4:${P}10"
for i in $GATEWAYS; do wait_until "gateway $i knows the target of node 4" is_route "$i" extra; done
expect "a change at a node without a vote" 200 "$(put_config 4 4 a)"
wait_until "it reads back there" holds_version 4 4

# A target leaves: later requests go to the other one.
curl -s -m 5 -X POST "127.0.0.9:${P}70/drain" > /dev/null
gone_from() { ! (for k in 1 2 3 4 5 6; do call "$1" /a/x "d-$k-$SECONDS"; echo; done | grep -q '^i-0'); }
for i in $GATEWAYS; do wait_until "gateway $i sends to the other target only" gone_from "$i"; done

# The leading control node is killed: calls are served, changes are accepted.
wait_until "a leader is found" find_leader
OLD="$LEADER"
kill_hard "control-$OLD"
expect "a call while nobody leads" 200 "$(call 1 /a/x lead-1 -o /dev/null -w '%{http_code}')"
OTHER=$((OLD % 3 + 1))
wait_until "a change is accepted without it" is_accepted "$OTHER" 5 b
for i in $GATEWAYS; do wait_until "gateway $i has the change" is_route "$i" b; done
expect "the dropped route" 404 "$(call 1 /a/x n -o /dev/null -w '%{http_code}')"

# It restarts with an empty folder and resumes its own place as a member.
rm -rf "$RUN/data-$OLD"
sed -i 's/first_start = true/first_start = false/' "$RUN/control-$OLD.toml"
start_control "$OLD"
wait_until "the new folder holds the change" holds_version "$OLD" 5
is_replaced() { grep -h 'Replacing a voter' "$RUN"/control-*.out | grep -q "new=127.0.0.$OLD:"; }
wait_until "the new folder has the vote" is_replaced
LAST=$((OTHER % 3 + 1))
[ "$LAST" = "$OLD" ] && LAST=$((LAST % 3 + 1))
sleep 2
kill_hard "control-$LAST"
wait_until "a change is accepted with the new folder and one other" is_accepted "$OTHER" 7 c

# A planned stop of a gateway interrupts no stream.
wait_until "gateway 2 has the change" is_route 2 c
call 2 /stream/x stream-1 > "$RUN/stream" &
STREAM=$!
sleep 0.1
terminate gateway-2
wait_until "the stopping gateway says so" is_not_serving 2
wait "$STREAM"
expect "the events of the stream" "20" "$(grep -c '^id: ' "$RUN/stream")"
exit_code gateway-2
expect "the exit code" 0 "$EXIT_CODE"
grep -q 'id=order-1 outcome=served' "$RUN"/gateway-2.out || fail "no log line of order-1"
echo "passed"
