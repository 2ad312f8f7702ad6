# Crowds of clients that break limits, against a deployment that is served. To be
# sourced by a test; includes deployment_on_platform.sh.
#
# The bounds are those of the machines: 112 MB for a gateway, 128 MB for a
# sidecar, 256 MB for a control node.
. "$(dirname "${BASH_SOURCE[0]}")/deployment_on_platform.sh"

GATEWAY_KB=109375 SIDECAR_KB=125000 CONTROL_KB=250000
CROWD="$(dirname "${BASH_SOURCE[0]}")/crowd.py"

start_crowd() { # PORT SHAPE COUNT BYTES [CHUNK] [FLAGS...]
  start crowd python3 "$CROWD" "$@"
  LIMIT_S=120 wait_until "the crowd $* has stalled" grep -q stalled "$RUN/crowd.out"
  : > "$RUN/crowd.out"
}
end_crowd() { kill_hard crowd; }
peak_kb() { awk '/^VmHWM/ {print $2}' "/proc/${PIDS[$1]}/status"; }
is_served() { is_route "$1" a; }
expect_within() { # PROCESS BOUND_KB WHEN
  is_running "$1" || fail "$1 has ended: $3"
  local peak
  peak="$(peak_kb "$1")"
  echo "$1: peak $peak KB, $(count_descriptors "$1") descriptors: $3"
  [ "$peak" -lt "$2" ] || fail "$1 took $peak KB, $2 allowed: $3"
}
# One crowd at a gateway: the process lives within its memory, and an ordinary
# request is served beside the crowd and after it.
try_crowd_at_gateway() { # SHAPE COUNT BYTES [CHUNK] [FLAGS...]
  start_crowd "${P}41" "$@"
  expect_within gateway-1 "$GATEWAY_KB" "beside the crowd $*"
  wait_until "a request is served beside the crowd $*" is_served 1
  end_crowd
  wait_until "a request is served after the crowd $*" is_served 1
  expect_within gateway-1 "$GATEWAY_KB" "after the crowd $*"
}
try_crowd() { # PROCESS BOUND_KB ADDRESS PORT SHAPE COUNT BYTES [FLAGS...]
  local process="$1" bound="$2" address="$3" port="$4"
  shift 4
  start_crowd "$port" "$@" --address="$address"
  expect_within "$process" "$bound" "the crowd $* at $address:$port"
  end_crowd
}
start_sidecar() {
  cat > "$RUN/sidecar.toml" << T
role = "sidecar"
deployment = "test-$$"
node = "sidecar"
failure_domain = "z1"
key_file = "$RUN/link.key"
log.file = "-"
peers.listen = "127.0.0.9:${P}90"
engine.address = "127.0.0.9:${P}70"
T
  start sidecar "$BIN/bilberryspool" sidecar --settings="$RUN/sidecar.toml"
}
start_served_platform() {
  start_platform
  start_targets targets "${P}70" "$@"
  wait_until_served
}
