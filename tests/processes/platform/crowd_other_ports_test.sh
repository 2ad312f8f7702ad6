#!/usr/bin/env bash
# Guards against control nodes, sidecars and the other ports of gateways that run out of
# memory where many bodies stop just short of their end.
. "$(dirname "$0")/crowds.sh"

start_served_platform
start_sidecar
try_port() { # PROCESS BOUND_KB ADDRESS PORT
  try_crowd "$@" nearly 60 8000000
  try_crowd "$@" trailers 10 32000000
}
try_port sidecar "$SIDECAR_KB" 127.0.0.9 "${P}90"
try_port gateway-1 "$GATEWAY_KB" 127.0.0.1 "${P}51"
try_port gateway-1 "$GATEWAY_KB" 127.0.0.1 "${P}61"
for port in 10 20 30; do try_port control-2 "$CONTROL_KB" 127.0.0.2 "$P$port"; done
wait_until "a configuration is accepted after the crowds" is_accepted 2 9 a
wait_until "a request is served after the crowds" is_served 1
echo "passed"
