#!/usr/bin/env bash
# Builds what the scripts start besides the nodes: the stand-ins of the review
# and the project's own store, which run in the process of a case. Needs the
# build of deploy/system.toml and no network.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo 'target/deps is missing: build first'; exit 1; }
python3 -m compileall -q review standins
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c \
  'import review.harness.load, review.harness.runner, standins.store'
