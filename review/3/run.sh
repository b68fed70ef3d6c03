#!/bin/sh
# Plays the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
review/build.sh || exit 2
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 \
    exec python3 review/3/case.py
