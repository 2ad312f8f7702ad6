#!/usr/bin/env bash
# Guards against any mix of what clients may send that ends a gateway, a control
# node or a sidecar. More seeds: CROWD_SEEDS="1 2 3".
. "$(dirname "$0")/crowds.sh"

start_served_platform
start_sidecar
for seed in ${CROWD_SEEDS:-1 2}; do
  try_crowd_at_gateway mixed 120 8000000 "--seed=$seed"
  try_crowd_at_gateway mixed 120 8000000 "--seed=$seed" --path=/stream/crowd
  for port in 10 20 30; do
    try_crowd control-2 "$CONTROL_KB" 127.0.0.2 "$P$port" mixed 120 8000000 "--seed=$seed"
  done
  try_crowd sidecar "$SIDECAR_KB" 127.0.0.9 "${P}90" mixed 120 8000000 "--seed=$seed"
done
wait_until "a configuration is accepted after the crowds" is_accepted 2 9 a
wait_until "a request is served after the crowds" is_served 1
echo "passed"
