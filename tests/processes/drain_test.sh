#!/usr/bin/env bash
# Guards against a leaving target that gets new work, or whose streams are cut.
# A target with running streams is drained by an operator, and later gets
# SIGTERM while its announcements reach no entry. Causes: entries that use their
# last state of the target, and an agent that exits at the signal instead of
# after its last request.
. "$(dirname "$0")/deployment.sh"

# Seconds after which the agent itself refuses new work; see drain-grace-s.
GRACE_S=4

use_relays
for i in 1 2 3; do write_entry "$i" ADVERTISE="127.0.0.1:${P}7$i"; done
write_agent 1 drafter ENTRY_ADDRESS=127.0.0.1:${P}71
write_agent 2 drafter ENTRY=2 ENTRY_ADDRESS=127.0.0.1:${P}72
start_entries 1 2 3
for i in 1 2; do start_standin "$i" --between_tokens_us=20000; done
start_agent 1
declare_services
for i in 1 2 3; do wait_until "entry $i offers the engine" offers "$i" drafter 1; done

streams=()
start_streams() { # LABEL TOKENS: one through each entry
  for i in 1 2 3; do
    stream "$i" "$1-$i" "$2" > "$RUN/$1-$i.stream" &
    streams+=($!)
  done
  for i in 1 2 3; do wait_until "stream $1-$i runs" has_run 1 "$1-$i"; done
}
expect_no_new_work() { # LABEL: requests through each entry, none runs on the first engine
  local i k
  for k in 1 2 3 4; do
    for i in 1 2 3; do
      expect "status of a request" 200 "$(curl -s -m 45 -o /dev/null -w '%{http_code}' "127.0.0.1:${P}0$i/v1/completions" \
        -H "Idempotency-Key: $1-$i-$k" -d '{"model":"drafter","prompt":"p","max_tokens":1}')"
      expect "runs of $1-$i-$k on the leaving target" 0 "$(runs 1 "$1-$i-$k")"
    done
  done
}

start_streams operator 300
start_agent 2
for i in 1 2 3; do wait_until "entry $i offers both engines" offers "$i" drafter 2; done
query "drain target t1" > /dev/null || fail "the drain was refused"
sleep "$GRACE_S"
expect_no_new_work drained
wait "${streams[@]}"
for i in 1 2 3; do expect_whole_stream "$RUN/operator-$i.stream" 300; done

query "undrain target t1" > /dev/null || fail "the undrain was refused"
for i in 1 2 3; do wait_until "entry $i offers both engines" offers "$i" drafter 2; done
terminate agent-2
exit_code agent-2
expect "exit code of an idle agent" 0 "$EXIT_CODE"
for i in 1 2 3; do wait_until "entry $i offers one engine" offers "$i" drafter 1; done

# No entry learns that the target leaves: the relays drop everything sent to the
# entries' peer addresses. Requests of callers and of entries to agents pass.
streams=()
start_streams signal 400
start_agent 2
for i in 1 2 3; do wait_until "entry $i offers both engines" offers "$i" drafter 2; done
for i in 1 2 3; do tell_relay "$i" blackout; done
terminate agent-1
sleep "$GRACE_S"
for i in 1 2 3; do
  shows "$i" "why target t1" "not offered: leaving" && fail "entry $i knows that the target is leaving"
done
expect_no_new_work unheard
wait "${streams[@]}"
for i in 1 2 3; do expect_whole_stream "$RUN/signal-$i.stream" 400; done
exit_code agent-1
expect "exit code of the agent" 0 "$EXIT_CODE"
