#!/usr/bin/env bash
# Guards against gateways that hold each of many long requests several times while their
# targets work.
. "$(dirname "$0")/crowds.sh"

start_served_platform --event_ms=300
try_crowd_at_gateway whole 40 4000000 --path=/stream/crowd
echo "passed"
