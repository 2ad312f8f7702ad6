#!/usr/bin/env bash
# Guards against a killed agent (kill -9) leaving a caller without an answer,
# running a non-idempotent request twice, or reporting one that ran as not run.
# Only the agent knows whether it handed a request to its engine. It is killed
# before, during and after the hand-over and restarts without memory; the
# requests are resent under their ids.
. "$(dirname "$0")/deployment.sh"

for i in 1 2 3; do write_entry "$i"; done
write_agent 1 drafter
write_agent 2 drafter ENTRY=2
write_agent 3 dispatch KIND=plain
start_entries 1 2 3
for i in 1 3; do
  start_standin "$i"
  start_agent "$i"
done
start_standin 2
declare_services
wait_for_orders 1
wait_until "entry 1 offers the engine" offers 1 drafter 1

# Checks the outcome of an order whose agent was killed against its runs. All
# other combinations are a wrong outcome or a repeated run.
expect_honest() { # WHEN ID ANSWER
  local outcome seen
  outcome="$(echo "$3" | cut -d' ' -f2)"
  seen="$(runs 3 "$2")"
  case "$outcome $seen" in
    "not-run 0" | "unknown 0" | "unknown 1" | "answered 1") ;;
    *) fail "$1: outcome and runs '$outcome $seen': $3" ;;
  esac
}

# An idempotent request: another target answers.
curl -sf -m 5 -X POST 127.0.0.1:${P}51/stall > /dev/null
curl -s -m 45 127.0.0.1:${P}01/v1/completions -o "$RUN/moved.json" -w '%{http_code}' \
  -d '{"model":"drafter","prompt":"p","max_tokens":3}' -H 'Idempotency-Key: move-1' > "$RUN/moved.status" &
moved=$!
wait_until "the request runs on the first engine" has_run 1 move-1
start_agent 2
wait_until "entry 1 offers both engines" offers 1 drafter 2
kill_hard agent-1
wait "$moved"
expect "status of the request that moved" 200 "$(cat "$RUN/moved.status")"
expect "runs on the other engine" 1 "$(runs 2 move-1)"

# Killed while the engine runs the order.
curl -sf -m 5 -X POST 127.0.0.1:${P}53/stall > /dev/null
dispatch 1 order-while > "$RUN/while.txt" &
sent=$!
wait_until "the order runs" has_run 3 order-while
kill_hard agent-3
wait "$sent"
expect "the order whose agent was killed" "unknown" "$(cut -d' ' -f2 "$RUN/while.txt")"
curl -sf -m 5 -X POST 127.0.0.1:${P}53/resume > /dev/null

# Killed, and the entry does not know it yet.
expect_honest "sent to a dead agent" order-dead "$(dispatch 1 order-dead)"

start_agent 3
# At most one order may be sent to the new agent with a token of the old one; its
# outcome is unknown.
recovers() {
  PROBES=$((${PROBES:-0} + 1))
  dispatch 1 "recover-$PROBES" | tee -a "$RUN/recovers.txt" | grep -q '^200 answered'
}
wait_until "the restarted agent serves" recovers
doubts="$(grep -c ' unknown ' "$RUN/recovers.txt")"
[ "$doubts" -le 1 ] || fail "$doubts orders with an unknown outcome after the agent's restart, at most 1 expected"
expect_honest "the resend after the agent's restart" order-while "$(dispatch 1 order-while)"
expect "runs of the order" 1 "$(runs 3 order-while)"

# Killed before it has read the order from its socket.
freeze agent-3
dispatch 1 order-before > "$RUN/before.txt" &
sent=$!
arrived() { [ "$(ss -tnH state established "( sport = :${P}33 )" | awk '{ s += $1 } END { print s + 0 }')" -gt 0 ]; }
wait_until "the order lies in the agent's socket" arrived
kill_hard agent-3
wait "$sent"
expect_honest "the order that was never read" order-before "$(cat "$RUN/before.txt")"
expect "runs of the order that was never read" 0 "$(runs 3 order-before)"

# Killed after it has answered, so its record of the order is lost.
start_agent 3
wait_for_orders 1
wait_until "the order is carried out" is_answered 1 order-after
kill_hard agent-3
start_agent 3
wait_for_orders 2
expect_honest "the resend of an answered order" order-after "$(dispatch 2 order-after)"
expect "runs of the answered order" 1 "$(runs 3 order-after)"
