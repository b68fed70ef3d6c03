#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
[ -d target/deps ] || exit 2
export PYTHONPATH="$PWD/target/deps:$PWD"
export PYTHONDONTWRITEBYTECODE=1
python3 -c "from review.standins2 import stage" || exit 2
exec python3 "$folder/case.py"
