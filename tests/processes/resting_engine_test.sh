#!/usr/bin/env bash
# Guards against an agent that hands attempts to an engine which has asked, by
# 503 with Retry-After, for a pause: entries know the agent's load only, and a
# refusing engine has none.
. "$(dirname "$0")/deployment.sh"

for i in 1 2 3; do write_entry "$i"; done
write_agent 1 drafter
write_agent 2 drafter
start_entries 1 2 3
for i in 1 2; do
  start_standin "$i" --first_token_us=5000 --between_tokens_us=2000
  start_agent "$i"
done
declare_services
wait_until "entry 1 offers both engines" offers 1 drafter 2
wait_for_streams 1

PAUSE_S=3
refusals() { curl -s -m 5 "127.0.0.1:${P}5$1/refusals" | sed 's/[^0-9]//g'; }
curl -sf -m 5 -X POST "127.0.0.1:${P}51/refuse/$PAUSE_S" > /dev/null || fail "the stand-in does not refuse"
COUNT=0
send_one() {
  COUNT=$((COUNT + 1))
  stream 1 "rest-$COUNT" 2 -H 'Bilberryspool-Idempotent: true' -o /dev/null -w '%{http_code}\n' >> "$RUN/answers"
}
has_refused() { send_one; [ "$(refusals 1)" -ge 1 ]; }
wait_until "the engine has refused one" has_refused
FIRST="$(refusals 1)"
END=$((SECONDS + PAUSE_S - 1))
while [ "$SECONDS" -lt "$END" ]; do send_one; done
expect "attempts that the engine got in its pause" 0 "$(($(refusals 1) - FIRST))"
expect "answers other than 200" 0 "$(grep -vc 200 "$RUN/answers")"

# After its pause it is tried again.
curl -sf -m 5 -X POST "127.0.0.1:${P}51/refuse/" > /dev/null || fail "the stand-in does not serve again"
serves_again() { send_one; [ "$(curl -s -m 5 "127.0.0.1:${P}51/witness" | grep -c "rest-$COUNT\"")" = 1 ]; }
wait_until "the engine serves again" serves_again
echo "passed"
