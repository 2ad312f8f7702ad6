#!/usr/bin/env bash
# Guards against streams that are cut although their target goes on: it was
# silent for a moment, they left it, and the retry budget then allowed no other.
. "$(dirname "$0")/deployment_on_platform.sh"

sed -i 's/^retries.ratio = .*/retries.ratio = 0/; s/^retries.slack = .*/retries.slack = 0/' "$RUN/gateway-1.toml"
for i in $CONTROLS; do start_control "$i"; done
start_gateway 1
for i in 1 2; do
  # shellcheck disable=SC2086
  start "standin-$i" "$BIN/platform_standin" --listen="127.0.0.$((8 + i))" --first_port="${P}70" --count=1 \
    --event_ms=200 --boot="-$i" $SEEDS_OF_TARGETS
done
wait_until "the configuration is accepted" is_accepted 2 3 a
wait_until "gateway 1 is ready" is_serving 1
wait_until "gateway 1 serves" is_route 1 a
serves_at() { is_route 1 a && grep -q "@127.0.0.$1:${P}70 .* 200" "$RUN/gateway-1.out"; }
for i in 9 10; do wait_until "the target at 127.0.0.$i serves" serves_at "$i"; done

stream_whole() { # ID
  call 1 /stream/x "$1" -X GET -N > "$RUN/$1.stream" 2> /dev/null && echo "$1" >> "$RUN/whole"
}
touch "$RUN/whole"
for i in 1 2 3 4 5 6; do stream_whole "early-$i" & STREAMS="${STREAMS:-} $!"; done
sleep 0.9
freeze standin-1
# The other target goes on, so that the silence of this one stands out.
for i in 1 2 3; do
  call 1 /stream/x "beside-$i" -X GET -m 1 -o /dev/null
  sleep 0.1
done
thaw standin-1
# shellcheck disable=SC2086
wait $STREAMS
grep 'id=early-' "$RUN/gateway-1.out" | grep -o 'outcome=[a-z_]* why="[^"]*"\|trail="[^"]*"'
expect "streams that ended whole" 6 "$(grep -c early "$RUN/whole")"
grep 'id=early-' "$RUN/gateway-1.out" | grep -q "127.0.0.9:" || fail "no stream ran at the frozen target"
echo "passed"
