#!/usr/bin/env bash
# Guards against a target getting more requests than the limit it names for all
# callers together: two gateways send, and one of three targets names a limit of
# one request per second.
. "$(dirname "$0")/deployment_on_platform.sh"

: > "$RUN/arrivals"
start_platform
start_targets standin "${P}70" --count=2
start_targets limited "${P}80" --count=1 --boot=-limited --limit=1 --arrivals="$RUN/arrivals"
wait_until_served

send_for() { # GATEWAY SECONDS: twelve requests a second
  local end=$((SECONDS + $2)) n=0
  while [ "$SECONDS" -lt "$end" ]; do
    n=$((n + 1))
    call "$1" /a/x "limit-$1-$n" -d order -o /dev/null -w '%{http_code}\n' >> "$RUN/answers-$1"
    sleep 0.07
  done
}
BEGUN="$(wc -l < "$RUN/arrivals")"
LOADS=""
for i in $GATEWAYS; do
  send_for "$i" 14 &
  LOADS="$LOADS $!"
done
# shellcheck disable=SC2086
wait $LOADS
[ "$(wc -l < "$RUN/arrivals")" -gt "$BEGUN" ] || fail "the limited target got no requests, not even within its limit"
# Counted from 3 s after it first named its limit.
python3 - "$RUN/arrivals" << 'P' || fail "the limited target got more than its limit: $(tr '\n' ' ' < "$RUN/arrivals")"
import sys
at = sorted(int(line) for line in open(sys.argv[1]))
late = [t for t in at if t >= at[0] + 3000]
most = max((sum(1 for u in late if t <= u < t + 4000) for t in late), default=0)
print("most in 4 s: %d of %d; %d in all" % (most, 1.5 * 4 + 5, len(at)))
sys.exit(0 if 0 < most <= 1.5 * 4 + 5 else 1)
P
expect_all_served
echo "passed"
