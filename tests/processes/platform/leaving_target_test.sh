#!/usr/bin/env bash
# Guards against requests to a target whose answers say that it leaves while its
# announcements still say that it is ready.
. "$(dirname "$0")/deployment_on_platform.sh"

DRAIN_MS=2000
start_platform
start_targets standin "${P}70" --count=1 --requests="$RUN/requests"
start_targets leaving "${P}80" --count=1 --boot=-leaving --requests="$RUN/requests"
wait_until_served

send_for() { # GATEWAY SECONDS PATH
  local end=$((SECONDS + $2)) n=0
  while [ "$SECONDS" -lt "$end" ]; do
    n=$((n + 1))
    call "$1" "/$3/x" "leave-$1-$3-$n" -d order -o "$RUN/answer-$1-$3" -w '%{http_code}\n' >> "$RUN/answers-$1"
    [ "$3" != stream ] || echo "$(grep -c '^data: ' "$RUN/answer-$1-$3")" >> "$RUN/events"
    sleep 0.02
  done
}
curl -s -m 5 -o /dev/null "127.0.0.9:${P}80/leave" || fail "the stand-in does not answer"
LOADS=""
for i in $GATEWAYS; do
  for path in a again stream; do
    send_for "$i" 6 "$path" &
    LOADS="$LOADS $!"
  done
done
# shellcheck disable=SC2086
wait $LOADS
expect_all_served
expect "streams that are not whole" 0 "$(grep -vcx 20 "$RUN/events")"
LATE="$(python3 - "$RUN/requests" "$DRAIN_MS" << 'P'
import sys
told_at, late = {}, 0
for line in open(sys.argv[1]):
    at, target, request, answer = line.split()
    if answer != "leaving" or not request.startswith("leave-"):
        continue
    gateway = request.split("-")[1]
    told_at.setdefault(gateway, int(at))
    late += int(at) > told_at[gateway] + int(sys.argv[2])
print(late if len(told_at) == 2 else "not asked by both gateways:")
P
)"
expect "requests to a target over $DRAIN_MS ms after it told that gateway that it leaves" 0 "$LATE"

# Where no other target is left, callers are refused at once.
kill_hard standin
LIMIT_S=20 wait_until "gateway 1 refuses" is_route 1 again 503
echo "passed"
