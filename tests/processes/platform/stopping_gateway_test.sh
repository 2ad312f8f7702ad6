#!/usr/bin/env bash
# Guards against requests that come late in the stop of a gateway being passed on,
# and against requests that are cut off without an answer at its end.
. "$(dirname "$0")/deployment_on_platform.sh"

start_platform
start_raw_targets 4
wait_until_served
python3 "$(dirname "$0")/late_requests.py" "${P}41" "${PIDS[gateway-1]}" 8 "$RUN/raw.out" ||
  fail "requests were cut off, or passed on late"
LIMIT_S=1 exit_code gateway-1
expect "exit code of the gateway" 0 "$EXIT_CODE"
expect "requests that came too late and ran" "" \
  "$(grep -E 'run late-.*-20-pieces-(4\.5|[567]\.[05])$' "$RUN/raw.out")"
echo "passed"
