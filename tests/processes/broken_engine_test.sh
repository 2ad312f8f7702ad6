#!/usr/bin/env bash
# Guards against answers of an engine that are none in the protocol reaching the
# callers of an entry.
. "$(dirname "$0")/deployment.sh"

start_with_raw_target

BODY="the engine's body"
FIELDS="Content-Length: ${#BODY}"$'\r\n'
COUNT=0
for head in "HTTP/1.1 000 OK"$'\r\n'"$FIELDS" "HTTP/1.1 999 OK"$'\r\n'"$FIELDS" \
  "HTTP/1.1 101 OK"$'\r\n' "HTTP/1.1 200 OK"$'\r\n'"Na me: v"$'\r\n'"$FIELDS" \
  "HTTP/1.1 200 OK"$'\r\n'"Name"$'\x01'": v"$'\r\n'"$FIELDS" \
  "HTTP/1.1 200 OK"$'\r\n'"Server: raw"$'\r\n'" $FIELDS" "HTTP/1.1 200 OK"$'\r\n'"Content-Le"; do
  COUNT=$((COUNT + 1))
  case "$head" in *Content-Le) text="$head" ;; *) text="$head"$'\r\n'"$BODY" ;; esac
  curl -s -i -m 45 "127.0.0.1:${P}01/dispatch/order" --data-binary "$text" -o "$RUN/broken" \
    -H "Idempotency-Key: broken-$COUNT" -H 'Bilberryspool-Idempotent: false'
  grep -q 'HTTP/1.1 5' "$RUN/broken" && ! grep -qi 'outcome: answered' "$RUN/broken" ||
    fail "a broken answer was passed on: ${head@Q} became $(cat -v "$RUN/broken")"
  wait_until "an order is carried out after ${head@Q}" carries_out_orders 1
done

echo "passed"
