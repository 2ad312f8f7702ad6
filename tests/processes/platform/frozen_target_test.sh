#!/usr/bin/env bash
# Guards against runs that go on for nobody at a frozen VM that no control node
# names: a caller who hears nothing must be told before he leaves after two
# seconds, but not if only the engine is silent and its VM responds.
. "$(dirname "$0")/deployment_on_platform.sh"

for i in $CONTROLS; do start_control "$i"; done
start_gateway 1
start standin "$BIN/platform_standin" --listen=127.0.0.9 --first_port="${P}70" --count=1 \
  --event_ms=150 --control="127.0.0.1:${P}10,127.0.0.2:${P}10,127.0.0.3:${P}10"
cat > "$RUN/sidecar.toml" << T
role = "sidecar"
deployment = "test-$$"
node = "sidecar-1"
failure_domain = "z1"
key_file = "$RUN/link.key"
log.file = "-"
peers.listen = "127.0.0.9:${P}90"
engine.address = "127.0.0.9:${P}70"
T
start sidecar "$BIN/bilberryspool" sidecar --settings="$RUN/sidecar.toml"
wait_until "the sidecar listens" grep -q 'Started\.' "$RUN/sidecar.out"
wait_until "the configuration is accepted" is_accepted 2 3 a
wait_until "gateway 1 is ready" is_serving 1
wait_until "gateway 1 serves" is_route 1 a

# Reads a stream, stops the processes given after its third event, and prints
# the seconds of silence from the last event until the stream ends, or "open"
# after LIMIT seconds of silence.
silence_after_stop() { # ID LIMIT PID...
  python3 - "127.0.0.1" "${P}41" "$@" << 'PY'
import os, signal, socket, sys, time
host, port, name, limit = sys.argv[1], int(sys.argv[2]), sys.argv[3], float(sys.argv[4])
caller = socket.create_connection((host, port), timeout=10)
caller.sendall(("GET /stream/x HTTP/1.1\r\nHost: h.example\r\nApi-Key: k1\r\n"
                "Bilberryspool-Attempt-Id: %s\r\nBilberryspool-Deadline-Ms: 8000\r\n\r\n" % name).encode())
text, is_stopped, last = b"", False, time.monotonic()
caller.settimeout(10)
while True:
    try:
        piece = caller.recv(65536)
    except socket.timeout:
        print("open")
        break
    except ConnectionResetError:
        piece = b""
    now = time.monotonic()
    if not piece:
        is_whole = text.endswith(b"0\r\n\r\n")
        print("whole" if is_whole else "%.3f" % (now - last))
        break
    text, last = text + piece, now
    if not is_stopped and text.count(b"data: ") >= 3:
        is_stopped = True
        for pid in sys.argv[5:]:
            os.kill(int(pid), signal.SIGSTOP)
        caller.settimeout(limit)
PY
}
probes_sent() { curl -s "127.0.0.1:${P}61/metrics" | sed -n 's/^bilberryspool_target_probes_total //p'; }
lines_about_vm() { grep -c 'The VM of a target does not respond' "$RUN/gateway-1.out"; }
trail() { grep "id=$1 " "$RUN/gateway-1.out"; }

# The first probe of a sidecar may be caused by a request that is shorter.
for n in $(seq 60); do call 1 /a/x "short-$n" -d order -o /dev/null; done
for name in standin sidecar; do is_running "$name" || fail "$name has ended"; done
SILENCE="$(silence_after_stop vm-frozen 4.0 "${PIDS[standin]}" "${PIDS[sidecar]}")"
thaw standin
thaw sidecar
echo "silence at the frozen VM: $SILENCE s"
case "$SILENCE" in
  0.* | 1.*) ;;
  *) fail "the caller should be told within 2 s of silence, found: $SILENCE" ;;
esac
wait_until "the request is logged" trail vm-frozen
trail vm-frozen | grep -q 'left:silent_vm' || fail "not ended for the silent VM: $(trail vm-frozen)"
expect "lines about the VM" 1 "$(lines_about_vm)"
wait_until "the target serves after the freeze" is_route 1 a

# While only the engine is silent, the stream stays open until the caller leaves:
# there is no other target to go on at.
BEFORE="$(probes_sent)"
SILENCE="$(silence_after_stop engine-silent 2.0 "${PIDS[standin]}")"
thaw standin
expect "the stream of a silent engine whose VM responds" open "$SILENCE"
wait_until "the request that was left is logged" trail engine-silent
trail engine-silent | grep -q 'outcome=caller_left' || fail "the caller did not leave: $(trail engine-silent)"
[ "$(probes_sent)" -gt "$BEFORE" ] || fail "no probe was sent"
expect "further lines about the VM" 1 "$(lines_about_vm)"
echo "passed"
