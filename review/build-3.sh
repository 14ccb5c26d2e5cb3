#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. Run it after the build
# of the deploy file, which puts the libraries into target/deps.
cd "$(dirname "$0")/.." || exit 2
export PYTHONPATH=target/deps
python3 -m compileall -q briarknot briarknot_standins review/lib-3 || exit 1
exec python3 -c 'import briarknot_standins.platform.__main__, tomllib'
