#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the crash.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD" PYTHONDONTWRITEBYTECODE=1 exec python3 -m review.3.case
