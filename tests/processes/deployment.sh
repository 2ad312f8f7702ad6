# Starts a small deployment of real processes. To be sourced by a test:
#
#   BIN=build/bin . tests/processes/deployment.sh
#
# Three entries (callers ${P}0N, operators ${P}1N, peers ${P}2N), all control
# replicas, each in its own failure domain; agents (${P}3N) with stand-ins for
# engines (${P}5N); relays (${P}7N, control ${P}8N). P is the first of 195 to
# 199 that no other test on this machine uses. Processes are started by name and
# killed by their id when the test exits. The time limits of waits are generous
# and only end a test that hangs; no result depends on how long a step takes. An
# "order" in these tests is a non-idempotent request.

set -u
: "${BIN:?the folder of the binaries}"
BIN="$(cd "$BIN" && pwd)"
RUN="$(mktemp -d)"
for P in 195 196 197 198 199 none; do
  [ "$P" = none ] && echo "all port ranges are in use" && exit 1
  exec 9> "${TMPDIR:-/tmp}/bilberryspool-ports-$P.lock"
  flock -n 9 && [ -z "$(ss -tlnH "( sport >= :${P}00 and sport <= :${P}99 )")" ] && break
done
DOMAINS=(none sahab marka abdali)
declare -A PIDS=()

fail() {
  echo "FAILED: $*"
  for log in "$RUN"/*.log "$RUN"/*.out; do
    [ -s "$log" ] && echo "--- ${log##*/}" && tail -n "${LOG_LINES:-12}" "$log"
  done
  exit 1
}

end_all() {
  local name
  for name in "${!PIDS[@]}"; do
    kill -CONT "${PIDS[$name]}" 2> /dev/null
    kill -KILL "${PIDS[$name]}" 2> /dev/null
  done
  # Loads that a failed test has left in the background.
  # shellcheck disable=SC2046
  kill $(jobs -p) 2> /dev/null
  wait 2> /dev/null
  rm -rf "$RUN"
}
trap end_all EXIT

# Waits until a command succeeds; fails the test after LIMIT_S seconds (40).
wait_until() { # WHAT COMMAND...
  local what="$1" end=$((SECONDS + ${LIMIT_S:-40}))
  shift
  until "$@" > /dev/null 2>&1; do
    [ "$SECONDS" -lt "$end" ] || fail "timed out waiting until $what"
    sleep 0.1
  done
}

expect() { # WHAT EXPECTED ACTUAL
  [ "$2" = "$3" ] || fail "$1: expected '$2', found '$3'"
}

# --- processes

start() { # NAME COMMAND...
  local name="$1"
  shift
  "$@" >> "$RUN/$name.out" 2>&1 9>&- &
  PIDS[$name]=$!
}
kill_hard() { # NAME
  kill -KILL "${PIDS[$1]}"
  wait "${PIDS[$1]}" 2> /dev/null
  unset "PIDS[$1]"
}
freeze() { kill -STOP "${PIDS[$1]}"; }
thaw() { kill -CONT "${PIDS[$1]}"; }
terminate() { kill -TERM "${PIDS[$1]}"; }
is_running() { kill -0 "${PIDS[$1]}" 2> /dev/null; }
has_ended() { ! is_running "$1"; }
# Waits for a process that exits by itself and sets EXIT_CODE.
exit_code() { # NAME
  wait_until "$1 has ended" has_ended "$1"
  local code=0
  wait "${PIDS[$1]}" || code=$?
  unset "PIDS[$1]"
  EXIT_CODE=$code
}
count_descriptors() { ls "/proc/${PIDS[$1]}/fd" | wc -l; }

# --- settings

MEMBERS="" SEEDS=""
for i in 1 2 3; do
  MEMBERS="$MEMBERS{ node = \"entry-$i\", address = \"127.0.0.1:${P}2$i\" }, "
  SEEDS="$SEEDS\"127.0.0.1:${P}2$i\", "
done
echo "the link key of test $$, not secret" > "$RUN/link.key"
echo "the operators' credential of test $$" > "$RUN/operators.key"

write_entry() { # N [KEY=VALUE...]: DOMAIN MEMBERS SEEDS ADVERTISE KEY DEPLOYMENT
  local n="$1"
  local DOMAIN="${DOMAINS[$n]:-sahab}" MEMBERS="$MEMBERS" SEEDS="$SEEDS"
  local ADVERTISE="127.0.0.1:${P}2$n" KEY="$RUN/link.key" DEPLOYMENT="test-$$"
  shift
  [ "$#" = 0 ] || local "$@"
  cat > "$RUN/entry-$n.toml" << T
role = "entry"
deployment = "$DEPLOYMENT"
node = "entry-$n"
failure_domain = "$DOMAIN"
key_file = "$KEY"
seeds = [$SEEDS]
data_folder = "$RUN/data-$n"
callers.listen = "127.0.0.1:${P}0$n"
operators.listen = "127.0.0.1:${P}1$n"
operators.credential_file = "$RUN/operators.key"
peers.listen = "127.0.0.1:${P}2$n"
peers.advertise = "$ADVERTISE"
limits.default_deadline_ms = 20000
limits.max_deadline_ms = 40000
drain.grace_ms = 40000
log.file = "$RUN/entry-$n.log"
T
  # An entry without initial members joins a running group.
  [ -z "$MEMBERS" ] || echo "control.initial_members = [$MEMBERS]" >> "$RUN/entry-$n.toml"
}

# Makes all other processes reach the entries through relays 1 to 3, which must be
# running.
use_relays() {
  MEMBERS="" SEEDS=""
  local i
  for i in 1 2 3; do
    MEMBERS="$MEMBERS{ node = \"entry-$i\", address = \"127.0.0.1:${P}7$i\" }, "
    SEEDS="$SEEDS\"127.0.0.1:${P}7$i\", "
    start_relay "$i" "${P}2$i"
  done
}

write_agent() { # N SERVICE [KEY=VALUE...]: KIND ENTRY ADVERTISE SLOTS KEY
  local n="$1" service="$2"
  local KIND=engine ENTRY=1 ADVERTISE="127.0.0.1:${P}3$n" SLOTS=16
  local KEY="$RUN/link.key" DEPLOYMENT="test-$$" ENTRY_ADDRESS=""
  shift 2
  [ "$#" = 0 ] || local "$@"
  cat > "$RUN/agent-$n.toml" << T
role = "agent"
deployment = "$DEPLOYMENT"
node = "agent-$n"
failure_domain = "${DOMAINS[$ENTRY]}"
key_file = "$KEY"
listen = "127.0.0.1:${P}3$n"
advertise = "$ADVERTISE"
entries = ["${ENTRY_ADDRESS:-127.0.0.1:${P}2$ENTRY}"]
target = "t$n"
services = ["$service"]
capacity_slots = $SLOTS
drain_grace_ms = 40000
engine.address = "127.0.0.1:${P}5$n"
engine.kind = "$KIND"
log.file = "$RUN/agent-$n.log"
T
}

start_entry() { start "entry-$1" "$BIN/bilberryspool" entry --settings="$RUN/entry-$1.toml"; }
start_agent() { start "agent-$1" "$BIN/bilberryspool" agent --settings="$RUN/agent-$1.toml"; }
start_standin() { # N [FLAGS...]
  local n="$1"
  shift
  start "standin-$n" "$BIN/bilberryspool-standin" --listen="127.0.0.1:${P}5$n" "$@"
}
start_relay() { # N PORT
  start "relay-$1" "$BIN/bilberryspool-blackhole" --listen="127.0.0.1:${P}7$1" \
    --to="127.0.0.1:$2" --control="127.0.0.1:${P}8$1"
  wait_until "relay $1 answers" curl -sf -m 2 "127.0.0.1:${P}8$1/"
}
tell_relay() { curl -sf -m 5 -X POST "127.0.0.1:${P}8$1/$2" > /dev/null || fail "relay $1 did not accept the command $2"; }

# --- operators

# Sends a statement to the entries listed in ENTRIES (digits), all by default.
query() { # STATEMENT [FLAGS...]
  local statement="$1" addresses="" n
  shift
  for n in ${ENTRIES:-1 2 3}; do addresses="$addresses,127.0.0.1:${P}1$n"; done
  timeout 30 "$BIN/bilberryspool" query --address="${addresses#,}" \
    --credential_file="$RUN/operators.key" --operator=test "$@" "$statement"
}
query_at() { # N STATEMENT [FLAGS...]
  local ENTRIES="$1"
  shift
  query "$@"
}
shows() { # N STATEMENT TEXT: whether entry N's answer to the statement contains the text
  query_at "$1" "$2" 2>&1 | grep -qF -- "$3"
}
is_ready() { curl -s -m 2 "127.0.0.1:${P}0$1/healthz" | grep -qx ready; }
# Prints the number of the leading entry, or nothing.
leader() {
  local n
  for n in 1 2 3; do
    if curl -s -m 2 -H "Authorization: Bearer $(cat "$RUN/operators.key")" \
      "127.0.0.1:${P}1$n/status" | grep -q '"has_lease":true'; then
      echo "$n"
      return 0
    fi
  done
  return 1
}
# Whether entry N offers COUNT targets for a service.
offers() { # N SERVICE COUNT
  query_at "$1" "show services" --json |
    python3 -c 'import json, sys
rows = [r for r in json.load(sys.stdin)["rows"] if r["service"] == sys.argv[1]]
sys.exit(not rows or str(rows[0]["offered"]) != sys.argv[2])' "$2" "$3"
}
start_entries() { for i in "$@"; do start_entry "$i"; done; }
declare_services() {
  wait_until "the services are declared" query \
    'declare service drafter engine idempotent; declare service dispatch plain path "/dispatch" non-idempotent; allow service drafter on any; allow service dispatch on any' --command_id=declare
}

# --- callers

# Sends a non-idempotent plain call; prints "STATUS OUTCOME REASON BODY".
dispatch() { # N ID [CURL_FLAGS...]
  local n="$1" id="$2" out
  shift 2
  out="$(mktemp "$RUN/answer.XXXXXX")"
  curl -s -m 45 -o "$out" "127.0.0.1:${P}0$n/dispatch/order" -d "work of $id" \
    -H "Idempotency-Key: $id" -H 'Bilberryspool-Idempotent: false' "$@" \
    -w '%{http_code} %header{bilberryspool-outcome} %header{bilberryspool-reason}'
  echo " $(cat "$out")"
}
# Streams a completion of TOKENS tokens; prints everything received.
stream() { # N ID TOKENS [CURL_FLAGS...]
  local n="$1" id="$2" tokens="$3"
  shift 3
  curl -sN -m 45 "127.0.0.1:${P}0$n/v1/completions" -H "Idempotency-Key: $id" "$@" \
    -d "{\"model\":\"drafter\",\"prompt\":\"$id\",\"max_tokens\":$tokens,\"stream\":true}"
}
# Prints how often the stand-in N ran the request.
runs() { # N ID
  curl -s -m 5 "127.0.0.1:${P}5$1/witness/$2" | sed 's/[^0-9]//g'
}
has_run() { [ "$(runs "$1" "$2")" = "${3:-1}" ]; }
# Checks that a file with an answer of `stream` is complete: each token once, in
# order.
expect_whole_stream() { # FILE TOKENS
  python3 -c 'import json, sys
lines = [l[6:] for l in open(sys.argv[1]).read().split("\n") if l.startswith("data: ")]
tokens = int(sys.argv[2])
assert lines[-1:] == ["[DONE]"], "the final [DONE] is missing"
positions = [json.loads(l)["position"] for l in lines[:-1]]
assert positions == list(range(tokens)), positions[-3:]' "$1" "$2" ||
    fail "the stream in ${1##*/} is incomplete"
}
is_answered() { # N ID: sends or resends the order; whether it was answered
  case "$(dispatch "$1" "$2")" in "200 answered "*) ;; *) return 1 ;; esac
}
# A probe uses a new id each time: an id whose outcome is unknown keeps it.
carries_out_orders() { # N
  PROBES=$((${PROBES:-0} + 1))
  is_answered "$1" "probe-$PROBES"
}
# An entry can only run orders once it has the roster of the claim holders.
wait_for_orders() { # N...
  local n
  for n in "$@"; do
    wait_until "entry $n carries out orders" carries_out_orders "$n"
  done
}
# Three entries, and an agent in front of a target that answers with what the
# request says; see raw_target.py.
start_with_raw_target() {
  local i
  for i in 1 2 3; do write_entry "$i"; done
  write_agent 1 dispatch KIND=plain
  start_entries 1 2 3
  start raw python3 "$(dirname "${BASH_SOURCE[0]}")/raw_target.py" 127.0.0.1 "${P}51" 1
  start_agent 1
  declare_services
  wait_for_orders 1
}
# Operators may see a target shortly before requests are routed to it.
is_streamed() { stream "$1" "probe-stream-$SECONDS" 1 | grep -q DONE; }
wait_for_streams() { wait_until "entry $1 streams" is_streamed "$1"; } # N
