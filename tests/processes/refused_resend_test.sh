#!/usr/bin/env bash
# Guards against a caller that is told that a request did not run although an
# earlier send of it did, and then submits it under a new id. The answer of the
# first send is lost; a configuration change or a limit makes the entry refuse the
# resend before it asks the claim holders. Such a refusal is no proof about
# earlier sends.
. "$(dirname "$0")/deployment.sh"

for i in 1 2 3; do write_entry "$i"; done
write_agent 1 dispatch KIND=plain
start_entries 1 2 3
start_standin 1
start_agent 1
declare_services
wait_for_orders 1
expect "the order" "200 answered" "$(dispatch 1 order-1 | cut -d' ' -f1,2)"

query "declare workspace kiln" > /dev/null || fail "the workspace is not accepted"
wait_until "the workspace is in force" shows 1 "show workspaces" kiln
is_refused() { [ "$(dispatch 1 "refused-$SECONDS" | cut -c1-3)" = 403 ]; }
wait_until "callers without a workspace are refused" is_refused
expect "the resend of the order" "403 unknown" "$(dispatch 1 order-1 | cut -d' ' -f1,2)"
expect "an order that its caller never sent before" "403 not-run" \
  "$(dispatch 1 order-2 -H 'Bilberryspool-First-Send: true' | cut -d' ' -f1,2)"

query 'declare workspace default requests 1' > /dev/null || fail "the limit is not accepted"
is_limited() { [ "$(dispatch 1 order-1 | cut -c1-3)" = 429 ]; }
wait_until "the resend meets the limit" is_limited
for k in 1 2 3 4 5 6; do
  case "$(dispatch 1 order-1 | cut -d' ' -f1,2)" in
    "429 unknown" | "200 answered") ;;
    *) fail "the resend under a limit: $(dispatch 1 order-1)" ;;
  esac
done
expect "runs of the order" 1 "$(runs 1 order-1)"
