#!/usr/bin/env bash
# Guards against gateways that run out of memory where bodies far over the limit are announced
# or just sent.
. "$(dirname "$0")/crowds.sh"

start_served_platform
try_crowd_at_gateway announced 40 64000000
try_crowd_at_gateway nearly 40 8000000
try_crowd_at_gateway chunks 40 64000000 65536
echo "passed"
