#!/usr/bin/env bash
# Runs a short soak and each seed that has failed before (regressions.txt: "SEED
# SECONDS cause"). Other seeds by hand: SOAK_SEEDS="5 6 7" SOAK_SECONDS=60.
. "$(dirname "$0")/../deployment.sh"

soak() { # SEED SECONDS
  mkdir -p "$RUN/soak-$1"
  "$BIN/bilberryspool-soak" --seed="$1" --seconds="$2" --binary="$BIN/bilberryspool" \
    --folder="$RUN/soak-$1" --first_port="${P}00" > "$RUN/soak-$1.out" 2>&1 9>&- &
  PIDS[soak]=$!
  local code=0
  wait "${PIDS[soak]}" || code=$?
  unset "PIDS[soak]"
  grep -v '^fault' "$RUN/soak-$1.out"
  [ "$code" = 0 ] && return
  if [ -n "${SOAK_KEEP:-}" ]; then
    mkdir -p "$SOAK_KEEP" && cp -r "$RUN/soak-$1" "$RUN/soak-$1.out" "$SOAK_KEEP/"
  fi
  FAILED="${FAILED:-} $1"
}

if [ -n "${SOAK_SEEDS:-}" ]; then
  for seed in $SOAK_SEEDS; do soak "$seed" "${SOAK_SECONDS:-30}"; done
else
  soak 1 10
  while read -r seed seconds _; do soak "$seed" "$seconds"; done < <(grep -E '^[0-9]' "$(dirname "$0")/regressions.txt")
fi
[ -z "${FAILED:-}" ] || fail "guarantees violated with the seeds$FAILED"
echo "passed"
