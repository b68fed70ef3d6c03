#!/bin/sh
# Checks the stand-ins that the scripts of the cases 6 to 10 start: they are
# Python, and run on what the build of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 1
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'from review.standins2 import stage'
