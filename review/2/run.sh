#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case couldn't run. TROUBLE=0: no disruption.
cd "$(dirname "$0")" && exec python3 case.py
