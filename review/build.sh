#!/bin/sh
# Checks that the stand-ins and cases can be started; they need no build.
# The daemons and all libraries come from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 \
    python3 -c 'import standins.proxy, standins.stage'
