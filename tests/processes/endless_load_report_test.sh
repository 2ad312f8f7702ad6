#!/usr/bin/env bash
# Guards against an agent that runs out of memory where its engine sends a report
# of its load without an end.
. "$(dirname "$0")/deployment.sh"

for i in 1 2 3; do write_entry "$i"; done
write_agent 1 dispatch KIND=plain
start_entries 1 2 3
start raw python3 "$(dirname "$0")/raw_target.py" 127.0.0.1 "${P}51" 1
start_agent 1
declare_services
wait_for_orders 1

memory_kb() { awk '/^VmHWM/ {print $2}' "/proc/${PIDS[agent-1]}/status"; }
BEFORE="$(memory_kb)"
curl -s -m 5 -o /dev/null "127.0.0.1:${P}51/x/endless_load" || fail "the stand-in does not answer"
sleep 8
GREW="$(($(memory_kb) - BEFORE))"
echo "the agent grew by $GREW KB"
[ "$GREW" -lt 40000 ] || fail "the agent grew by $GREW KB"
echo "passed"
