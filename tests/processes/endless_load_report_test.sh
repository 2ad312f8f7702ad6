#!/usr/bin/env bash
# Guards against an agent that runs out of memory where its engine sends a report
# of its load without an end.
. "$(dirname "$0")/deployment.sh"

start_with_raw_target

memory_kb() { awk '/^VmHWM/ {print $2}' "/proc/${PIDS[agent-1]}/status"; }
BEFORE="$(memory_kb)"
curl -s -m 5 -o /dev/null "127.0.0.1:${P}51/x/endless_load" || fail "the stand-in does not answer"
sleep 8
GREW="$(($(memory_kb) - BEFORE))"
echo "the agent grew by $GREW KB"
[ "$GREW" -lt 40000 ] || fail "the agent grew by $GREW KB"
echo "passed"
