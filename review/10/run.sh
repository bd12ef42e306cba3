#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exits with 0, 1 or 2: see case.py.
cd "$(dirname "$0")" || exit 2
exec python3 -B case.py
