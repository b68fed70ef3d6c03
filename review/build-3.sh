#!/bin/sh
# Prepares what the scripts in review/11 to review/15 start. The stand-ins are
# Python that needs no more than target/deps; this checks that they load.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo 'target/deps is missing: run the build' >&2; exit 1; }
PYTHONPATH=target/deps:review PYTHONDONTWRITEBYTECODE=1 exec python3 -c '
from standins3 import daemons, deployment, executors, store
import yaml
'
