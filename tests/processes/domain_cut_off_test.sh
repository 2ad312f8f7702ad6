#!/usr/bin/env bash
# Guards against a failure domain that is cut off: it must still serve, accept
# no change that the others don't receive, and not return with an older
# configuration. No process is notified of a cut: connections stay open while
# the other side is silent (SIGSTOP). First the other two domains are silent,
# then the third one, while the others accept a change; then all run again.
. "$(dirname "$0")/deployment.sh"

for i in 1 2 3; do write_entry "$i"; done
write_agent 1 drafter
write_agent 3 drafter ENTRY=3
write_agent 4 dispatch ENTRY=3 KIND=plain
start_entries 1 2 3
for i in 1 3 4; do
  start_standin "$i"
  start_agent "$i"
done
declare_services
wait_for_orders 3
wait_until "entry 3 offers both engines" offers 3 drafter 2

freeze entry-1
freeze entry-2
query_at 3 "declare priority cut level 1" --command_id=cut > "$RUN/change.txt" 2>&1 &
change=$!

# The age in seconds, from "as of version N, vouched for by the leader S s ago".
age() { query_at 3 "show version" | sed -n 's/.*vouched for by the leader \([0-9]*\).*/\1/p'; }
is_stale() { [ "$(age)" -ge 5 ]; }
version_at() { query_at "$1" "show version" | awk 'NR == 2 { print $1 }'; }
version="$(version_at 3)"
wait_until "entry 3 says how old its configuration is" is_stale
for k in 1 2 3; do
  stream 3 "own-$k" 5 > "$RUN/own-$k.stream"
  expect_whole_stream "$RUN/own-$k.stream" 5
  answer="$(dispatch 3 "order-$k")"
  case "$(echo "$answer" | cut -d' ' -f2) $(runs 4 "order-$k")" in
    "not-run 0" | "unknown 0") ;;
    *) fail "an order without a majority of holders: $answer" ;;
  esac
done
expect "the version in force meanwhile" "$version" "$(version_at 3)"
wait_until "the others' domains are known to be silent" shows 3 "why target t1" "cut off"
code=0
wait "$change" || code=$?
expect "exit code of a change in the domain that is cut off" 3 "$code"
grep -q accepted "$RUN/change.txt" && fail "a change was accepted: $(cat "$RUN/change.txt")"

freeze entry-3
thaw entry-1
thaw entry-2
wait_until "the majority accepts a change" query_at 1 "declare priority whole level 7" --command_id=whole
thaw entry-3
wait_until "entry 3 has the newest" shows 3 "show config" "priority whole level 7"
# The change with the unknown outcome takes effect once; all entries report the
# same outcome.
ENTRIES="3 1" query "declare priority cut level 1" --command_id=cut > "$RUN/1.txt" || fail "the resend: $(cat "$RUN/1.txt")"
ENTRIES="2 1" query "declare priority cut level 1" --command_id=cut > "$RUN/2.txt" || fail "the resend: $(cat "$RUN/2.txt")"
expect "the outcome of the change in doubt" "$(grep -o 'version [0-9]*' "$RUN/1.txt")" "$(grep -o 'version [0-9]*' "$RUN/2.txt")"
wait_for_orders 3
