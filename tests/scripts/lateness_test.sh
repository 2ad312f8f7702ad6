#!/usr/bin/env bash
# Tests scripts/lateness on log lines of each outcome, and on a file without any.
set -eu
lateness="$1"
folder="$(mktemp -d)"
trap 'rm -rf "$folder"' EXIT
cat > "$folder/gateway.log" <<'LOG'
2026-08-15T23:38:17.213Z INFO [gateway] Request. id=1 outcome=served why="" first_ms=160 pause_ms=60 ms=200
2026-08-15T23:38:17.313Z INFO [gateway] Request. id=2 outcome=served why="" first_ms=700 pause_ms=60 ms=1000
2026-08-15T23:38:17.413Z INFO [gateway] Request. id=3 outcome=served why="" first_ms=160 pause_ms=133 ms=300
2026-08-15T23:38:17.513Z INFO [gateway] Request. id=4 outcome=served why="" first_ms=-1 pause_ms=0 ms=20
2026-08-15T23:38:17.613Z INFO [gateway] Request. id=5 outcome=refused why="all targets full" first_ms=-1 pause_ms=0 ms=1
2026-08-15T23:38:17.613Z INFO [gateway] Request. id=6 outcome=failed_404 why="no route" first_ms=-1 pause_ms=0 ms=0
2026-08-15T23:38:17.700Z INFO [gateway] Draining. in_progress=3
LOG
out="$("$lateness" "$folder/gateway.log")"
echo "$out"
[ "$(wc -l <<< "$out")" -eq 2 ]
grep -q '^[0-9]* late=1$' <<< "$out"
grep -q '^[0-9]* in_time=1 paused=1 plain=1 refused:all targets full=1$' <<< "$out"
"$lateness" --objective 1000 --pause 150 "$folder/gateway.log" | grep -q 'in_time=2'
echo "nothing here" > "$folder/other.log"
if "$lateness" "$folder/other.log" 2> "$folder/error"; then
  echo "a file without request lines must be reported as an error"
  exit 1
fi
grep -q 'no request lines' "$folder/error"
