#!/usr/bin/env bash
# Guards against answers that are none in the protocol, or that are cut off,
# reaching callers.
. "$(dirname "$0")/deployment_on_platform.sh"

start_platform
start_raw_targets 4
wait_until_served
python3 "$(dirname "$0")/broken_answers.py" "${P}41" || fail "broken answers reached a caller"
echo "passed"
