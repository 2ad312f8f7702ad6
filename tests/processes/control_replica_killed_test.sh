#!/usr/bin/env bash
# Guards against a change that takes effect twice, not at all, or differently on
# the killed replica, when its answer is lost. The leading control replica is
# killed (kill -9) while a change is submitted through another entry: the change
# may be accepted but not answered, and the log of the killed replica may end
# elsewhere than those of the others. The change is resent with its command id.
. "$(dirname "$0")/deployment.sh"

for i in 1 2 3; do write_entry "$i"; done
start_entries 1 2 3
declare_services
wait_until "there is a leader" leader
led="$(leader)"
others="$(echo 1 2 3 | tr -d "$led")"
read -r other _ <<< "$others"

# Submit several changes in a row, so that the kill happens during one.
(
  for k in $(seq 6); do
    ENTRIES="$others" query "declare workspace w$k weight $k" --command_id="ops-$k" > "$RUN/first-$k.txt" 2>&1
    echo "$?" > "$RUN/first-$k.code"
  done
) &
changes=$!
wait_until "a few changes are through" test -s "$RUN/first-3.code"
kill_hard "entry-$led"
wait "$changes"

for k in $(seq 6); do
  answer="$(ENTRIES="$others" query "declare workspace w$k weight $k" --command_id="ops-$k" 2>&1)" ||
    fail "the resend of ops-$k: $answer"
  version="$(echo "$answer" | sed -n 's/.*accepted at version \([0-9]*\).*/\1/p')"
  before="$(sed -n 's/.*accepted at version \([0-9]*\).*/\1/p' "$RUN/first-$k.txt")"
  [ -z "$before" ] || expect "the first outcome of ops-$k" "$before" "$version"
  echo "$version"
done > "$RUN/versions"
expect "a version for each command" 6 "$(sort -un "$RUN/versions" | wc -l)"

start_entry "$led"
has_same_configuration() {
  [ "$(query_at "$led" "show config")" = "$(query_at "$other" "show config")" ]
}
wait_until "the restarted replica has the last change" shows "$led" "show workspaces" w6
wait_until "the restarted replica has the same configuration" has_same_configuration
expect "workspaces" 6 "$(query_at "$led" "show config" | grep -c "declare workspace w")"
