#!/bin/bash
# Builds the stand-ins of the scripts of the second review: compiles them, and
# checks that the packages of the deploy file's build are there.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps/aiohttp ] || { echo 'run the build of deploy/system.toml first'; exit 2; }
python3 -m compileall -q standins review/harness_2 || exit 1
PYTHONPATH="target/deps:." python3 -c 'import aiohttp, standins.store'
