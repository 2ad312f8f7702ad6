#!/usr/bin/env bash
# Guards against streams that are cut although their target goes on: it was
# silent for a moment, they left it, and the retry budget, or the room of the
# other target, then allowed no other.
. "$(dirname "$0")/deployment_on_platform.sh"

sed -i 's/^retries.ratio = .*/retries.ratio = 0/; s/^retries.slack = .*/retries.slack = 0/' "$RUN/gateway-1.toml"
for i in $CONTROLS; do start_control "$i"; done
for i in $GATEWAYS; do start_gateway "$i"; done
for i in 1 2; do
  # shellcheck disable=SC2086
  start "standin-$i" "$BIN/platform_standin" --listen="127.0.0.$((8 + i))" --first_port="${P}70" --count=1 \
    --event_ms=200 --boot="-$i" $SEEDS_OF_TARGETS
done
wait_until "the configuration is accepted" is_accepted 2 3 a
for i in $GATEWAYS; do wait_until "gateway $i is ready" is_serving "$i"; done
serves_at() { is_route "$1" a && grep -q "@127.0.0.$2:${P}70 .* 200" "$RUN/gateway-$1.out"; }
for i in $GATEWAYS; do
  for j in 9 10; do wait_until "the target at 127.0.0.$j serves at gateway $i" serves_at "$i" "$j"; done
done

stream_whole() { # GATEWAY ID
  call "$1" /stream/x "$2" -X GET -N > "$RUN/$2.stream" 2> /dev/null && echo "$2" >> "$RUN/whole"
}
trails() { grep "id=$1-" "$RUN"/gateway-?.out | grep -o 'outcome=[a-z_]* why="[^"]*"\|trail="[^"]*"'; }
# Starts streams, freezes one of the two targets for under 2 s, and checks that
# each stream ends whole.
play() { # GATEWAY NAME STREAMS
  local i streams=""
  for i in $(seq "$3"); do
    stream_whole "$1" "$2-$i" &
    streams="$streams $!"
  done
  sleep 0.9
  freeze standin-1
  # The other target goes on, so that the silence of this one stands out.
  for i in 1 2 3; do
    call "$1" /stream/x "beside-$2-$i" -X GET -m 1 -o /dev/null
    sleep 0.1
  done
  thaw standin-1
  # shellcheck disable=SC2086
  wait $streams
  trails "$2" | sort | uniq -c
  expect "streams of $2 that ended whole" "$3" "$(grep -c "^$2-" "$RUN/whole")"
  trails "$2" | grep -q "127.0.0.9:" || fail "no stream of $2 ran at the frozen target"
}

touch "$RUN/whole"
play 1 no-budget 6
play 2 room 6
trails room | grep -q 'left:silent;' || fail "no stream has left the frozen target"
trails room | grep -q 'left:slow' && fail "a silent target is taken for a slow one"
# Each target takes 10 requests, so that few of the streams have room at the other.
play 2 no-room 16
echo "passed"
