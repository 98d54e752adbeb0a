#!/bin/sh
# demo.sh: install, build, and serve requests on loopback for a while
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
comet_install
comet_build build -Dbuildtype=release
exec python3 scripts/demo.py "${1:-20}"
