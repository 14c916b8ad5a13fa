#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:."
python3 -c 'import aiohttp, attrs, standins.store' || exit 2
exec python3 review/8/case.py
