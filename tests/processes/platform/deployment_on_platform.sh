# Starts three control nodes (operators 127.0.0.N:${P}10, metrics 30) and two
# gateways (callers ${P}4N, readiness 5N, metrics 6N) as on the users' platform.
# To be sourced by a test; includes deployment.sh.
. "$(dirname "${BASH_SOURCE[0]}")/../deployment.sh"

GATEWAYS="1 2"
CONTROLS="1 2 3"
for i in $CONTROLS 4; do
  cat > "$RUN/control-$i.toml" << T
role = "control"
deployment = "test-$$"
node = "control-$i"
failure_domain = "z$i"
key_file = "$RUN/link.key"
data_folder = "$RUN/data-$i"
log.file = "-"
operators.listen = "127.0.0.$i:${P}10"
peers.listen = "127.0.0.$i:${P}20"
peers.advertise = "127.0.0.$i:${P}20"
metrics.listen = "127.0.0.$i:${P}30"
control.seeds = ["127.0.0.1:${P}10", "127.0.0.2:${P}10", "127.0.0.3:${P}10"]
control.first_start = ${FIRST_START:-true}
announcements.interval_ms = 300
drain.grace_s = 8
T
done
for i in $GATEWAYS; do
  cat > "$RUN/gateway-$i.toml" << T
role = "gateway"
deployment = "test-$$"
node = "gateway-$i"
failure_domain = "z1"
key_file = "$RUN/link.key"
log.file = "-"
callers.listen = "127.0.0.1:${P}4$i"
readiness.listen = "127.0.0.1:${P}5$i"
metrics.listen = "127.0.0.1:${P}6$i"
control.seeds = ["127.0.0.1:${P}10", "127.0.0.2:${P}10", "127.0.0.3:${P}10"]
control.peers_port = ${P}20
sidecars.port = ${P}90
drain.grace_s = 8
retries.ratio = 0.2
retries.slack = 240
retries.window_s = 10
T
done

start_control() { start "control-$1" "$BIN/bilberryspool" control --settings="$RUN/control-$1.toml"; }
start_gateway() { start "gateway-$1" "$BIN/bilberryspool" gateway --settings="$RUN/gateway-$1.toml"; }
status() { curl -s -m 5 -o /dev/null -w '%{http_code}' "$@"; }
is_serving() { [ "$(status "127.0.0.1:${P}5$1/ready")" = 200 ]; }
put_config() { # NODE VERSION PREFIX
  curl -s -m 5 -o /dev/null -w '%{http_code}' -X PUT "127.0.0.$1:${P}10/config" -d "{\"version\":$2,
    \"routes\":[{\"name\":\"plain\",\"host\":\"h.example\",\"path_prefix\":\"/$3/\",\"kind\":\"unsafe\",\"timeout_ms\":4000,\"service\":\"model\"},
      {\"name\":\"stream\",\"host\":\"h.example\",\"path_prefix\":\"/stream/\",\"kind\":\"streaming\",\"timeout_ms\":8000,\"service\":\"model\",\"attempts\":2,\"resume_streams\":true},
      {\"name\":\"again\",\"host\":\"h.example\",\"path_prefix\":\"/again/\",\"kind\":\"safe\",\"timeout_ms\":4000,\"service\":\"model\",\"attempts\":2},
      {\"name\":\"extra\",\"host\":\"h.example\",\"path_prefix\":\"/extra/\",\"kind\":\"safe\",\"timeout_ms\":4000,\"service\":\"extra\"}],
    \"services\":[{\"name\":\"model\"},{\"name\":\"extra\"}],\"tenants\":[{\"name\":\"w1\",\"api_keys\":[\"k1\"]}]}"
}
call() { # GATEWAY PATH ID [FLAGS...]
  local n="$1" path="$2" id="$3"
  shift 3
  curl -s -m 10 "127.0.0.1:${P}4$n$path" -H 'Host: h.example' -H "Api-Key: ${KEY:-k1}" \
    -H "Bilberryspool-Attempt-Id: $id" -H 'Bilberryspool-Deadline-Ms: 8000' "$@"
}
is_accepted() { [ "$(put_config "$@")" = 200 ]; }
leads() { curl -s -m 2 "127.0.0.$1:${P}30/metrics" | grep -q '^bilberryspool_leader 1'; }
find_leader() { for i in $CONTROLS; do leads "$i" && LEADER="$i" && return 0; done; return 1; }
holds_version() { curl -s -m 2 "127.0.0.$1:${P}10/config" | grep -q "\"version\":$2,"; }
is_route() { [ "$(call "$1" "/$2/x" "probe-$SECONDS" -o /dev/null -w '%{http_code}')" = "${3:-200}" ]; }
total_runs() { # ID
  local sum=0 i
  for i in 0 1; do sum=$((sum + $(curl -s -m 5 "127.0.0.9:$((${P}70 + i))/witness/$1"))); done
  echo "$sum"
}
# Flags of a stand-in that announces its targets to all control nodes.
SEEDS_OF_TARGETS="--control=127.0.0.1:${P}10,127.0.0.2:${P}10,127.0.0.3:${P}10"
start_targets() { # NAME PORT [FLAGS...]
  local name="$1" port="$2"
  shift 2
  start "$name" "$BIN/platform_standin" --listen=127.0.0.9 --first_port="$port" "$SEEDS_OF_TARGETS" "$@"
}
# Targets that answer with what the request says; see raw_target.py.
start_raw_targets() { # COUNT
  start raw python3 "$(dirname "${BASH_SOURCE[0]}")/../raw_target.py" 127.0.0.9 "${P}70" "$1" \
    "${SEEDS_OF_TARGETS#--control=}"
}
start_platform() {
  local i
  for i in $CONTROLS; do start_control "$i"; done
  for i in $GATEWAYS; do start_gateway "$i"; done
}
# Configures the deployment and waits until all gateways serve /a/.
wait_until_served() {
  local i
  wait_until "the configuration is accepted" is_accepted 2 3 a
  for i in $GATEWAYS; do wait_until "gateway $i is ready" is_serving "$i"; done
  for i in $GATEWAYS; do wait_until "gateway $i serves" is_route "$i" a; done
}
expect_all_served() {
  local i
  for i in $GATEWAYS; do
    expect "answers of gateway $i other than 200" 0 "$(grep -vc 200 "$RUN/answers-$i")"
  done
}
# Sends requests to a gateway until a file exists.
send_until() { # GATEWAY FILE
  local n=0
  until [ -e "$2" ]; do
    n=$((n + 1))
    call "$1" /a/x "sent-$1-$n" -d order -o /dev/null -w '%{http_code}\n' >> "$RUN/answers-$1"
    sleep 0.02
  done
}
# The clock that the stand-in records requests by.
now_ms() { python3 -c 'import time; print(time.monotonic_ns() // 1000000)'; }
# Counts the requests that a stand-in has recorded from one moment to another.
runs_between() { # FILE FROM_MS TO_MS
  awk -v from="$2" -v to="$3" '$1 >= from && $1 <= to' "$1" | wc -l
}
