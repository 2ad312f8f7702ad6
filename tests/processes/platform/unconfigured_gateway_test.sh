#!/usr/bin/env bash
# Guards against callers being told to come back while all processes are still
# starting, so that their only retry is refused, too.
. "$(dirname "$0")/deployment_on_platform.sh"

start_gateway 1
retry_after_ms() { # PATH ID DEADLINE_MS
  curl -s -m 5 -o /dev/null -D - "127.0.0.1:${P}41$1" -H 'Host: h.example' -H 'Api-Key: k1' \
    -H "Bilberryspool-Attempt-Id: $2" -H "Bilberryspool-Deadline-Ms: $3" |
    sed -n 's/^Retry-After: \([0-9]*\)\.\([0-9]*\).*/\1\2/p'
}
is_refusing() { [ -n "$(retry_after_ms /stream/x "probe-$SECONDS" 8000)" ]; }
wait_until "the gateway answers" is_refusing
# Callers accept a delay of up to a third of the time that they have left.
for deadline in 8000 2500; do
  delay="$((10#$(retry_after_ms /stream/x "deadline-$deadline" "$deadline")))"
  [ "$delay" -ge $((deadline * 29 / 100)) ] && [ "$delay" -le $((deadline / 3)) ] ||
    fail "a caller with $deadline ms left is asked to come back after $delay ms"
done
echo "passed"
