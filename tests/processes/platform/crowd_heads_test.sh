#!/usr/bin/env bash
# Guards against gateways that run out of memory where clients send heads of very short
# fields, or heads without an end.
. "$(dirname "$0")/crowds.sh"

start_served_platform --event_ms=300
try_crowd_at_gateway short_fields 200 60000 --path=/stream/crowd
try_crowd_at_gateway head 200 60000
echo "passed"
