#!/usr/bin/env bash
# Guards against losing state when all entries are killed at once (kill -9): an
# older configuration is served, or a resent non-idempotent request runs again.
# Causes: state acknowledged before it was synced, a version from the middle of
# the log's replay, or claim holders that lost their votes and take the replayed
# log for a first start. One entry starts alone first, without a majority.
. "$(dirname "$0")/deployment.sh"

for i in 1 2 3; do write_entry "$i"; done
write_agent 1 dispatch KIND=plain
start_entries 1 2 3
start_standin 1
start_agent 1
declare_services
for k in $(seq 20); do
  query "declare priority urgent level $k" > "$RUN/change.txt" 2>&1 || fail "change $k: $(cat "$RUN/change.txt")"
done
wait_until "entry 1 offers the target" offers 1 dispatch 1
wait_for_orders 1
expect "the order" "200 answered" "$(dispatch 1 order-1 | cut -d' ' -f1,2)"
expect "runs of the order" 1 "$(runs 1 order-1)"

# From here on, no older version than that of the twentieth change may be shown.
watch_level() {
  while true; do
    for i in 1 2 3; do
      query_at "$i" "show config" 2> /dev/null | sed -n 's/.*priority urgent level \([0-9]*\).*/\1/p'
    done
    sleep 0.1
  done
}
for i in 1 2 3; do kill_hard "entry-$i"; done
start watch_level_of_all watch_level
start_entry 1
sleep 0.3
start_entries 2 3
for i in 1 2 3; do
  wait_until "entry $i has the last change" shows "$i" "show config" "priority urgent level 20"
  wait_until "entry $i is ready" is_ready "$i"
done
wait_until "entry 2 offers the target" offers 2 dispatch 1
expect "levels shown since the restart" 20 "$(sort -u "$RUN/watch_level_of_all.out" | tr '\n' ' ' | sed 's/ $//')"

for i in 1 2 3; do
  answer="$(dispatch "$i" order-1)"
  case "$answer" in
    *" unknown "* | "200 answered "*) ;;
    *) fail "the resend through entry $i: $answer" ;;
  esac
done
expect "runs of the order after the resends" 1 "$(runs 1 order-1)"
