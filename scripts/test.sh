#!/bin/sh
# test.sh: install, build with sanitizers, run every test and check
set -eu
cd "$(dirname "$0")/.."
. scripts/setup.sh
comet_install
exec sh scripts/checks.sh
