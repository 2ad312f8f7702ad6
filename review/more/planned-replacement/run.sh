#!/usr/bin/env bash
# Exit: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0: without the disruption.
exec timeout -k 5 118 python3 "$(dirname "$0")/run.py"
