#!/usr/bin/env bash
# Guards against gateways that run out of memory where many chunked bodies in very small
# chunks stop just short of their end.
. "$(dirname "$0")/crowds.sh"

start_served_platform
try_crowd_at_gateway chunks 40 12000000 2
echo "passed"
