#!/usr/bin/env bash
# Guards against a non-idempotent request that runs twice, or whose caller gets no
# answer, after its entry was killed (kill -9). The caller resends it with its
# Idempotency-Key through another entry, while it runs and after it has finished;
# that entry must learn of the first attempt from the claim holders and the agent.
. "$(dirname "$0")/deployment.sh"

for i in 1 2 3; do write_entry "$i"; done
write_agent 1 dispatch KIND=plain
start_entries 1 2 3
start_standin 1 --first_token_us=300000
start_agent 1
declare_services
wait_for_orders 1 2

# The engine is stalled, so that the order is still running at the kill.
curl -sf -m 5 -X POST 127.0.0.1:${P}51/stall > /dev/null
dispatch 1 order-1 > "$RUN/first.txt" &
first=$!
wait_until "the order runs" has_run 1 order-1
kill_hard entry-1
wait "$first"
expect "status of the broken first send" 000 "$(cut -c1-3 "$RUN/first.txt")"

expect "the resend while the order runs" "409 unknown in-progress" \
  "$(dispatch 2 order-1 -H 'Bilberryspool-Deadline-Ms: 40000' | cut -d' ' -f1-3)"
expect "runs while the order runs" 1 "$(runs 1 order-1)"

curl -sf -m 5 -X POST 127.0.0.1:${P}51/resume > /dev/null
wait_until "the resend gets the first one's answer" is_answered 2 order-1
answer="$(dispatch 2 order-1)"
case "$answer" in
  *'{"id":"order-1","runs":1,"echo":"work of order-1"}') ;;
  *) fail "the answer is not that of the first run: $answer" ;;
esac
expect "the resend with another body" "422" "$(dispatch 3 order-1 -d more | cut -c1-3)"
expect "runs in the end" 1 "$(runs 1 order-1)"
