#!/usr/bin/env bash
# Guards against gateways that run out of memory where clients send trailers, or chunk
# extensions, that never end.
. "$(dirname "$0")/crowds.sh"

start_served_platform
try_crowd_at_gateway trailers 8 32000000
try_crowd_at_gateway extension 8 32000000
echo "passed"
