#!/bin/sh
# Builds the stand-ins that the scripts start: they are Python, so that they are
# compiled, and imported once with the libraries of the deploy file's build.
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root" || exit 2
python3 -m compileall -q briarknot_standins review || exit 1
PYTHONPATH="$root/review/lib:$root/target/deps:$root" python3 -S -c '
import briarknot_standins.platform, harness, streams'
