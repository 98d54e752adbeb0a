#!/bin/sh
# bench.sh: policy, slopes, overhead, decide, directory or bulk; see docs/CAPACITY.md and docs/design/
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
comet_install
comet_build build -Dbuildtype=release
exec python3 scripts/bench.py "$@"
