#!/usr/bin/env bash
# Guards against processes with another link key or of another deployment (a
# copied settings file, reassigned addresses) being trusted: their targets must
# get no work, and they must not join the control group.
. "$(dirname "$0")/deployment.sh"

echo "another key, as long as the first" > "$RUN/other.key"
for i in 1 2 3; do write_entry "$i"; done
write_entry 4 DEPLOYMENT=other MEMBERS=
write_agent 1 drafter
write_agent 2 drafter KEY="$RUN/other.key"
write_agent 3 drafter DEPLOYMENT=other
start_entries 1 2 3 4
for i in 1 2 3; do
  start_standin "$i"
  start_agent "$i"
done
declare_services
wait_until "entry 1 offers the right target" offers 1 drafter 1

has_refused() { # PROCESS REASON
  grep -q "WARN .*Refused a peer.*$2" "$RUN/$1.log"
}
wait_until "the wrong key is refused in the log" has_refused entry-1 "key"
wait_until "the wrong deployment is refused in the log" has_refused entry-1 "deployment"
shows 1 "show members" entry-4 && fail "the entry of the other deployment is a member"
grep "Refused a peer" "$RUN/entry-1.log" | sed 's/.*Refused/Refused/' | sort -u | head -4

for k in 1 2 3 4 5 6; do
  stream 1 "work-$k" 3 > "$RUN/$k.stream"
  expect_whole_stream "$RUN/$k.stream" 3
  expect "runs of work-$k on the right target" 1 "$(runs 1 "work-$k")"
done
expect "targets that entry 1 knows" 1 "$(query_at 1 "show targets" | grep -c '^t[0-9]')"
is_ready 4 && fail "the entry of the other deployment serves"
expect "services at the entry of the other deployment" 0 "$(query_at 4 "show config" 2> /dev/null | grep -c drafter)"
# An agent accepts no work from clients without the key.
status="$(curl -s -m 5 -o /dev/null -w '%{http_code}' "127.0.0.1:${P}31/v1/completions" -H 'Bilberryspool-Start: {}' -d '{}')"
expect "status of an attempt without the key" 401 "$status"
