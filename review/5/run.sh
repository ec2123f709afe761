#!/usr/bin/env bash
# Plays the case once. TROUBLE=0 leaves the disruption out. Exits with 1 if the rule was broken, 0 if
# it held, 2 if the case couldn't run.
cd "$(dirname "$0")" && exec python3 case.py
