#!/usr/bin/env bash
# Guards against a non-idempotent request that runs again minutes later, or after
# its caller was told that it did not run. An entry is frozen (SIGSTOP) after it
# has read requests and before it has the holders' votes; one of them runs through
# another entry. When thawed, with its admission tokens expired, the entry is
# unaware of the stall and sends what it was about to send.
. "$(dirname "$0")/deployment.sh"

# Longer than an agent's token is valid, 15 to 20 s; see attempts::AttemptGate.
FROZEN_S=21

for i in 1 2 3; do write_entry "$i"; done
write_agent 1 dispatch KIND=plain
start_entries 1 2 3
start_standin 1
start_agent 1
declare_services
wait_for_orders 1 2

has_read() { # COUNT: whether entry 1 has COUNT caller connections with nothing left to read
  [ "$(ss -tnH state established "( sport = :${P}01 )" | awk '$1 == 0' | wc -l)" -ge "$1" ]
}
freeze entry-2
freeze entry-3
sent=()
for id in resent lonely; do
  dispatch 1 "order-$id" > "$RUN/$id.txt" &
  sent+=($!)
done
wait_until "entry 1 has read the orders" has_read 2
freeze entry-1
frozen_at=$SECONDS
# An order that is still in its socket when it is thawed.
dispatch 1 order-waiting > "$RUN/waiting.txt" &
sent+=($!)
thaw entry-2
thaw entry-3
wait_until "the order is carried out by another entry" is_answered 2 order-resent
sleep $((FROZEN_S - (SECONDS - frozen_at)))
thaw entry-1
wait "${sent[@]}"

for id in resent lonely waiting; do
  outcome="$(cut -d' ' -f2 "$RUN/$id.txt")"
  echo "order-$id: $(cat "$RUN/$id.txt"), runs $(runs 1 "order-$id")"
  case "$outcome $(runs 1 "order-$id")" in
    "answered 1" | "not-run 0" | "unknown 0" | "unknown 1") ;;
    *) fail "order-$id: $(cat "$RUN/$id.txt") with runs $(runs 1 "order-$id")" ;;
  esac
done
expect "runs of the resent order" 1 "$(runs 1 order-resent)"
wait_for_orders 1
expect "runs of the resent order in the end" 1 "$(runs 1 order-resent)"
